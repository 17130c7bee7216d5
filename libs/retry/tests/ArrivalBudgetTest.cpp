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

/** The platform's bound: arrivals beyond the first, in any window of that length. */
constexpr double platformRatio = 0.2;
constexpr Millis window(10'000);

/** Arrivals that the platform allows besides: 124 for a service of 48 executors, the least share.
 */
constexpr double slackOfExecutor = 2.5;

/** Part of the ratio that executors use. */
constexpr double share = 0.8;

constexpr Millis step(20);

/** Executors of one service whose calls fail and are repeated as often as the budget lets them. */
class Service
{
public:
    explicit Service(std::size_t executors)
        : budgets_(executors, ArrivalBudget(platformRatio * share))
    {}

    /** Calls of one step, spread over all executors; each fails with the chance, also repeated. */
    void run(int calls, double chance)
    {
        now_ = now_ + step;
        Step counted{now_};
        for (int i = 0; i < calls; ++i) {
            ++counted.firsts_;
            any().noteFirst(now_);
            const admission::Priority priority{.rank_ = 0,
                                               .bucket_ = static_cast<int>(random_.below(128))};
            while (random_.unit() < chance && any().spend(RepeatKind::AfterRefusal, priority, now_))
                ++counted.repeats_;
        }
        steps_.push_back(counted);
        check();
    }

    /** A part of the daemons starts anew and has counted nothing. */
    void restart(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            any() = ArrivalBudget(platformRatio * share);
    }

    /** Repeats for each first arrival, over the whole run. */
    double used() const { return repeats_ / std::max(1.0, firsts_); }

private:
    struct Step
    {
        Millis at_;
        double firsts_ = 0;
        double repeats_ = 0;
    };

    ArrivalBudget &any() { return budgets_[random_.below(budgets_.size())]; }

    /** The window that ends now, against its own requests and those of the window before. */
    void check()
    {
        firsts_ += steps_.back().firsts_;
        repeats_ += steps_.back().repeats_;
        while (steps_.front().at_ <= now_ - window * 2)
            steps_.pop_front();
        double repeats = 0;
        double firsts = 0;
        double before = 0;
        for (const auto &one : steps_) {
            const bool isInWindow = one.at_ > now_ - window;
            (isInWindow ? firsts : before) += one.firsts_;
            repeats += isInWindow ? one.repeats_ : 0;
        }
        const auto slack = slackOfExecutor * static_cast<double>(budgets_.size());
        ASSERT_LE(repeats, platformRatio * std::max(firsts, before) + slack);
    }

    std::vector<ArrivalBudget> budgets_;
    base::Random random_{1};
    Millis now_{1000};
    std::deque<Step> steps_;
    double firsts_ = 0;
    double repeats_ = 0;
};

class Executors : public testing::TestWithParam<std::size_t>
{};

constexpr int secondsOfSteps(int seconds)
{
    return seconds * 50;
}

} // namespace

TEST_P(Executors, keepThePlatformsBoundInEveryWindow)
{
    Service service(GetParam());
    for (int i = 0; i < secondsOfSteps(25); ++i)
        service.run(60, 0.5);
    // Nearly all that is allowed is used when there is need of it.
    EXPECT_GT(service.used(), 0.7 * platformRatio);
}

TEST_P(Executors, keepItWhenFailuresAndLoadComeAndGo)
{
    Service service(GetParam());
    base::Random random(7);
    for (int phase = 0; phase < 30; ++phase) {
        const auto calls = static_cast<int>(random.below(120));
        const auto chance = random.below(3) == 0 ? 1.0 : random.unit();
        for (int i = 0; i < secondsOfSteps(2); ++i)
            service.run(calls, chance);
    }
}

TEST_P(Executors, keepItWhileDaemonsRestart)
{
    Service service(GetParam());
    for (int i = 0; i < secondsOfSteps(25); ++i) {
        if (i % secondsOfSteps(10) == 0)
            service.restart(GetParam());
        service.run(60, 0.5);
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, Executors, testing::Values(4, 30, 100, 300));

TEST(ArrivalBudget, oneRepeatIsPaidForBeforeTheFirstArrivals)
{
    ArrivalBudget budget(platformRatio);
    EXPECT_TRUE(budget.spend(RepeatKind::AfterRefusal, {}, Millis(1000)));
    EXPECT_FALSE(budget.spend(RepeatKind::AfterRefusal, {}, Millis(1000)));
}

TEST(ArrivalBudget, aServerWithFewRequestsCanBeTriedAgainAtTimes)
{
    ArrivalBudget budget(platformRatio);
    for (int i = 0; i < 10; ++i)
        budget.noteFirst(Millis(1000 + i * 5000));
    EXPECT_TRUE(budget.spend(RepeatKind::AfterRefusal, {}, Millis(60'000)));
    EXPECT_FALSE(budget.spend(RepeatKind::AfterRefusal, {}, Millis(60'000)));
}

TEST(ArrivalBudget, callsOfRepeatedRunsPassAndAreMissingToOthers)
{
    ArrivalBudget budget(platformRatio);
    const Millis now(1000);
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(budget.spend(RepeatKind::OfRepeatedRun, {}, now));
    for (int i = 0; i < 5; ++i)
        budget.noteFirst(now);
    EXPECT_FALSE(budget.spend(RepeatKind::AfterRefusal, {}, now));
    for (int i = 0; i < 5; ++i)
        budget.noteFirst(now);
    EXPECT_TRUE(budget.spend(RepeatKind::AfterRefusal, {}, now));
}

TEST(ArrivalBudget, wholeRunsAreRepeatedForAPartOfItOnly)
{
    ArrivalBudget budget(platformRatio);
    int reruns = 0;
    int afterRefusals = 0;
    for (int i = 0; i < 5000; ++i) {
        const Millis now(1000 + i);
        budget.noteFirst(now);
        reruns += budget.spend(RepeatKind::Rerun, {}, now) ? 1 : 0;
        afterRefusals += budget.spend(RepeatKind::AfterRefusal, {}, now) ? 1 : 0;
    }
    EXPECT_LE(reruns, 0.25 * platformRatio * 5000 + 1);
    EXPECT_GT(reruns + afterRefusals, 0.9 * platformRatio * 5000);
    EXPECT_LE(reruns + afterRefusals, platformRatio * 5000 + 1);
}
