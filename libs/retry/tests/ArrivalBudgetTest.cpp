#include <algorithm>
#include <deque>
#include <vector>

#include <base/Random.h>
#include <gtest/gtest.h>
#include <retry/ArrivalBudget.h>

using base::Millis;
using retry::ArrivalBudget;
using retry::RepeatKind;

namespace {

/** The platform's limit on repeats per first arrival, in any window of this length. */
constexpr double platformRatio = 0.2;
constexpr Millis window(10'000);

/** Repeats that the platform allows in addition: 124 for 48 executors, the smallest share. */
constexpr double slackPerExecutor = 2.5;

/** Share of the ratio that executors use. */
constexpr double executorShare = 0.8;

constexpr Millis stepInterval(20);

/** Executors of one service, whose failed calls are repeated as often as the budget permits. */
class Service
{
public:
    explicit Service(std::size_t executors)
        : budgets_(executors, ArrivalBudget(platformRatio * executorShare))
    {}

    /** Runs one step; each call and repeat goes to a random executor and may fail. */
    void run(int calls, double failureProbability)
    {
        now_ = now_ + stepInterval;
        StepCounts counts{now_};
        for (int i = 0; i < calls; ++i) {
            ++counts.firsts_;
            randomBudget().recordFirstArrival(now_);
            const admission::Priority priority{.rank_ = 0,
                                               .bucket_ = static_cast<int>(random_.below(128))};
            while (random_.unit() < failureProbability
                   && randomBudget().spend(RepeatKind::AfterRefusal, priority, 0, now_))
                ++counts.repeats_;
        }
        steps_.push_back(counts);
        checkWindow();
    }

    /** Sends this share of all requests to the first half of the executors. */
    void moveLoad(double firstHalfShare) { firstHalfShare_ = firstHalfShare; }

    /** Restarts that many random daemons; their counts are lost. */
    void restart(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            randomBudget() = ArrivalBudget(platformRatio * executorShare);
    }

    /** Repeats in the whole run. */
    double repeats() const { return repeats_; }

    /** Repeats per first arrival over the whole run. */
    double retryRatio() const { return repeats_ / std::max(1.0, firsts_); }

private:
    struct StepCounts
    {
        Millis time_;
        double firsts_ = 0;
        double repeats_ = 0;
    };

    ArrivalBudget &randomBudget()
    {
        const auto half = budgets_.size() / 2;
        const bool isInFirstHalf = random_.unit() < firstHalfShare_;
        return budgets_[random_.below(half) + (isInFirstHalf ? 0 : half)];
    }

    /** Checks the last window against its first arrivals and those of the window before. */
    void checkWindow()
    {
        firsts_ += steps_.back().firsts_;
        repeats_ += steps_.back().repeats_;
        while (steps_.front().time_ <= now_ - window * 2)
            steps_.pop_front();
        double repeats = 0;
        double firsts = 0;
        double firstsBefore = 0;
        for (const auto &step : steps_) {
            const bool isInWindow = step.time_ > now_ - window;
            (isInWindow ? firsts : firstsBefore) += step.firsts_;
            repeats += isInWindow ? step.repeats_ : 0;
        }
        const auto slack = slackPerExecutor * static_cast<double>(budgets_.size());
        ASSERT_LE(repeats, platformRatio * std::max(firsts, firstsBefore) + slack);
    }

    std::vector<ArrivalBudget> budgets_;
    double firstHalfShare_ = 0.5; ///< of the requests
    base::Random random_{1};
    Millis now_{1000};
    std::deque<StepCounts> steps_;
    double firsts_ = 0;
    double repeats_ = 0;
};

class Executors : public testing::TestWithParam<std::size_t>
{};

constexpr int stepsInSeconds(int seconds)
{
    return seconds * 50;
}

} // namespace

TEST_P(Executors, keepPlatformLimitInEveryWindow)
{
    Service service(GetParam());
    for (int i = 0; i < stepsInSeconds(25); ++i)
        service.run(60, 0.5);
    // Most of the permitted repeats are used when needed.
    EXPECT_GT(service.retryRatio(), 0.7 * platformRatio);
}

TEST_P(Executors, keepPlatformLimitUnderVaryingLoadAndFailures)
{
    Service service(GetParam());
    base::Random random(7);
    for (int phase = 0; phase < 30; ++phase) {
        const auto calls = static_cast<int>(random.below(120));
        const auto failureProbability = random.below(3) == 0 ? 1.0 : random.unit();
        for (int i = 0; i < stepsInSeconds(2); ++i)
            service.run(calls, failureProbability);
    }
}

TEST_P(Executors, keepPlatformLimitWhileDaemonsRestart)
{
    Service service(GetParam());
    for (int i = 0; i < stepsInSeconds(25); ++i) {
        if (i % stepsInSeconds(10) == 0)
            service.restart(GetParam());
        service.run(60, 0.5);
    }
}

// The windows with most first arrivals differ between executors.
TEST_P(Executors, keepPlatformLimitWhileLoadMoves)
{
    Service service(GetParam());
    for (int i = 0; i < stepsInSeconds(60); ++i) {
        if (i % stepsInSeconds(10) == 0)
            service.moveLoad(i % stepsInSeconds(20) == 0 ? 0.9 : 0.1);
        service.run(60, 0.5);
    }
}

// Requests that fail make fewer calls; repeats are granted as if there were as many as before.
TEST_P(Executors, useTheWindowBeforeAFault)
{
    Service service(GetParam());
    for (int i = 0; i < stepsInSeconds(21); ++i)
        service.run(60, 0);
    const double repeatsPerSecond = 0.55 * platformRatio * 60 * stepsInSeconds(1);
    for (int i = 0; i < stepsInSeconds(8); ++i)
        service.run(25, 0.8);
    EXPECT_GT(service.repeats(), 8 * repeatsPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Executors, testing::Values(4, 30, 100, 300));

TEST(ArrivalBudget, permitsOneRepeatBeforeAnyFirstArrival)
{
    ArrivalBudget budget(platformRatio);
    EXPECT_TRUE(budget.spend(RepeatKind::AfterRefusal, {}, 0, Millis(1000)));
    EXPECT_FALSE(budget.spend(RepeatKind::AfterRefusal, {}, 0, Millis(1000)));
}

TEST(ArrivalBudget, permitsOccasionalRepeatsWithFewRequests)
{
    ArrivalBudget budget(platformRatio);
    for (int i = 0; i < 10; ++i)
        budget.recordFirstArrival(Millis(1000 + i * 5000));
    EXPECT_TRUE(budget.spend(RepeatKind::AfterRefusal, {}, 0, Millis(60'000)));
    EXPECT_FALSE(budget.spend(RepeatKind::AfterRefusal, {}, 0, Millis(60'000)));
}

TEST(ArrivalBudget, callsOfRepeatedRunsAreAdmittedAndCharged)
{
    ArrivalBudget budget(platformRatio);
    const Millis now(1000);
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(budget.spend(RepeatKind::OfRepeatedRun, {}, 0, now));
    for (int i = 0; i < 25; ++i)
        budget.recordFirstArrival(now);
    EXPECT_FALSE(budget.spend(RepeatKind::AfterRefusal, {}, 0, now));
    for (int i = 0; i < 5; ++i)
        budget.recordFirstArrival(now);
    EXPECT_TRUE(budget.spend(RepeatKind::AfterRefusal, {}, 0, now));
}

TEST(ArrivalBudget, rerunsAreLimitedToAShareOfTheBudget)
{
    ArrivalBudget budget(platformRatio);
    int reruns = 0;
    int afterRefusals = 0;
    for (int i = 0; i < 5000; ++i) {
        const Millis now(1000 + i);
        budget.recordFirstArrival(now);
        reruns += budget.spend(RepeatKind::Rerun, {}, 0, now) ? 1 : 0;
        afterRefusals += budget.spend(RepeatKind::AfterRefusal, {}, 0, now) ? 1 : 0;
    }
    EXPECT_LE(reruns, 0.25 * platformRatio * 5000 + 1);
    EXPECT_GT(reruns + afterRefusals, 0.9 * platformRatio * 5000);
    EXPECT_LE(reruns + afterRefusals, platformRatio * 5000 + 1);
}
