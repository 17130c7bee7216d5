#include <array>
#include <cmath>
#include <deque>
#include <tuple>
#include <vector>

#include <Planner.h>

#include <base/Random.h>
#include <gtest/gtest.h>
#include <retry/ArrivalBudget.h>

using base::Millis;
using retry::ArrivalBudget;
using retry::RepeatKind;

namespace {

constexpr double platformRatio = 0.2;
constexpr double executorRatio = 0.8 * platformRatio;
constexpr std::size_t rankCount = 3;
constexpr std::size_t executorCount = 3;
constexpr int requestsPerSecond = 400;
constexpr Millis windowLength(10'000);

/** Slack of the platform's bound, for each executor: 124 for 48 of them, the smallest share. */
constexpr double slackPerExecutor = 2.5;

/** A service whose arrivals are checked against the platform's bound in every window. */
class Service
{
public:
    void recordFirst(Millis now)
    {
        randomBudget().recordFirstArrival(now);
        ++sliceAt(now).firsts_;
    }

    bool repeat(RepeatKind kind, const admission::Priority &priority, std::uint32_t completedCalls,
                Millis now)
    {
        if (!randomBudget().spend(kind, priority, completedCalls, now))
            return false;
        ++sliceAt(now).repeats_;
        return true;
    }

    void checkWindow(Millis now)
    {
        double repeats = 0;
        double firsts = 0;
        double firstsBefore = 0;
        for (const auto &slice : slices_) {
            const bool isInWindow = slice.time_ > now - windowLength;
            (isInWindow ? firsts : firstsBefore) += slice.firsts_;
            repeats += isInWindow ? slice.repeats_ : 0;
        }
        ASSERT_LE(repeats, platformRatio * std::max(firsts, firstsBefore)
                                   + slackPerExecutor * executorCount);
    }

private:
    struct Slice
    {
        Millis time_;
        double firsts_ = 0;
        double repeats_ = 0;
    };

    Slice &sliceAt(Millis now)
    {
        if (slices_.empty() || slices_.back().time_ != now)
            slices_.push_back({now});
        while (slices_.front().time_ <= now - windowLength * 2)
            slices_.pop_front();
        return slices_.back();
    }

    ArrivalBudget &randomBudget() { return budgets_[random_.below(budgets_.size())]; }

    std::vector<ArrivalBudget> budgets_{executorCount, ArrivalBudget(executorRatio)};
    base::Random random_{1};
    std::deque<Slice> slices_;
};

/** Share of the answers that are lost on the way back, after the run. */
struct LostShares
{
    double ofCallers_ = 0;
    double ofLeaves_ = 0;
};

/** Requests of three ranks; each makes calls to "callers_", and these to "leaves_". */
class Load
{
public:
    Load(int calls, int callsOfCallers)
        : calls_(calls)
        , callsOfCallers_(callsOfCallers)
    {}

    struct Tally
    {
        double arrived_ = 0;
        double served_ = 0;
    };

    std::array<Tally, rankCount> play(Millis duration, const LostShares &lost)
    {
        std::array<Tally, rankCount> tallies;
        for (const auto end = now_ + duration; now_ < end; now_ = now_ + Millis(10)) {
            for (int i = 0; i < requestsPerSecond / 100; ++i) {
                const admission::Priority priority{
                        .rank_ = static_cast<int>(random_.below(rankCount)),
                        .bucket_ = static_cast<int>(random_.below(128))};
                auto &tally = tallies[priority.rank_];
                ++tally.arrived_;
                tally.served_ += isServed(priority, lost) ? 1 : 0;
            }
            callers_.checkWindow(now_);
            leaves_.checkWindow(now_);
        }
        return tallies;
    }

private:
    bool isServed(const admission::Priority &priority, const LostShares &lost)
    {
        for (int call = 0; call < calls_; ++call) {
            const auto completed = static_cast<std::uint32_t>(call);
            const bool isAnswered = callsOfCallers_ == 0
                                            ? callLeaf(priority, completed, false, lost)
                                            : callCaller(priority, completed, lost);
            if (!isAnswered)
                return false;
        }
        return true;
    }

    bool callCaller(const admission::Priority &priority, std::uint32_t completed,
                    const LostShares &lost)
    {
        callers_.recordFirst(now_);
        for (bool isRepeat = false;; isRepeat = true) {
            for (int i = 0; i < callsOfCallers_; ++i) {
                if (!callLeaf(priority, completed, isRepeat, lost))
                    return false;
            }
            if (random_.unit() >= lost.ofCallers_)
                return true;
            if (!callers_.repeat(RepeatKind::Rerun, priority, completed, now_))
                return false;
        }
    }

    bool callLeaf(const admission::Priority &priority, std::uint32_t completed,
                  bool isOfRepeatedRun, const LostShares &lost)
    {
        if (!isOfRepeatedRun)
            leaves_.recordFirst(now_);
        else if (!leaves_.repeat(RepeatKind::OfRepeatedRun, priority, completed, now_))
            return false;
        while (random_.unit() < lost.ofLeaves_) {
            if (!leaves_.repeat(RepeatKind::LeafRerun, priority, completed, now_))
                return false;
        }
        return true;
    }

    int calls_;
    int callsOfCallers_;
    Service callers_;
    Service leaves_;
    base::Random random_{2};
    Millis now_{1000};
};

class LostAnswers : public testing::TestWithParam<std::tuple<double, int>>
{};

} // namespace

// Answers of runs that make no calls are lost for 8 s. A request of a better rank counts as much as
// 16 of the next one.
TEST_P(LostAnswers, rerunsServeNearlyAsManyRequestsAsAPlannerWould)
{
    const auto [lostShare, calls] = GetParam();
    constexpr Millis faultTime(8'000);
    Load load(calls, 0);
    load.play(Millis(21'000), {});
    const auto tallies = load.play(faultTime, {.ofLeaves_ = lostShare});

    const retry::tests::Planner planner(lostShare, calls);
    double repeatsLeft = executorRatio * requestsPerSecond * calls
                         * static_cast<double>(faultTime.count()) / 1000;
    double best = 0;
    double reached = 0;
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        const double weight = std::pow(16, rankCount - 1 - rank);
        const double requests = tallies[rank].arrived_;
        const auto [served, left] = planner.serve(repeatsLeft / requests);
        repeatsLeft = left * requests;
        best += weight * served * requests;
        reached += weight * tallies[rank].served_;
    }
    EXPECT_GE(reached, 0.9 * best);
}

INSTANTIATE_TEST_SUITE_P(SharesAndCalls, LostAnswers,
                         testing::Combine(testing::Values(0.05, 0.1, 0.2, 0.4),
                                          testing::Values(1, 2, 4, 8)));

// Answers of both services are lost in turns and at once; runs of the first make calls.
TEST(LostAnswersOfCallers, keepThePlatformLimitInEveryWindow)
{
    Load load(2, 4);
    base::Random random(3);
    load.play(Millis(5'000), {});
    for (int phase = 0; phase < 30; ++phase) {
        const auto drawShare = [&random] {
            return random.below(2) == 0 ? 0.0 : 0.05 + 0.35 * random.unit();
        };
        const double ofCallers = drawShare();
        load.play(Millis(3'000), {.ofCallers_ = ofCallers, .ofLeaves_ = drawShare()});
    }
}
