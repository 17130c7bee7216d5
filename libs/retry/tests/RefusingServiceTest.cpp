#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <vector>

#include <Planner.h>

#include <base/Random.h>
#include <gtest/gtest.h>
#include <retry/ArrivalBudget.h>
#include <retry/StartGate.h>

using base::Millis;
using retry::ArrivalBudget;
using retry::RepeatKind;
using retry::tests::Planner;

namespace {

constexpr double platformRatio = 0.2;
constexpr double executorRatio = 0.8 * platformRatio;
constexpr std::size_t rankCount = 3;
constexpr int requestsPerSecond = 400;
constexpr Millis calmTime(21'000);
constexpr Millis faultTime(8'000);

/** Time after which an entry learns of a level at a service two hops below. */
constexpr Millis levelDelay(100);

/** Requests of one rank. */
struct Tally
{
    double arrived_ = 0;
    double served_ = 0;
    double refused_ = 0; ///< before any work
};

using Tallies = std::array<Tally, rankCount>;

/** A service of three backend servers whose calls come from requests that make several of them. */
class RefusingService
{
public:
    explicit RefusingService(int calls)
        : calls_(calls)
    {}

    Tallies run(Millis duration, double refusalProbability)
    {
        Tallies tallies;
        for (const auto end = now_ + duration; now_ < end;) {
            now_ = now_ + Millis::fromMicros(1'000'000 / requestsPerSecond);
            if (now_ >= levelDue_)
                observeLevel();
            const admission::Priority priority{.rank_ = static_cast<int>(random_.below(rankCount)),
                                               .bucket_ = static_cast<int>(random_.below(128))};
            request(priority, refusalProbability, tallies[priority.rank_]);
        }
        return tallies;
    }

    /** Repeats of the last 10 s, which is longer than the fault. */
    double repeats() const { return repeats_; }

private:
    void observeLevel()
    {
        levelDue_ = now_ + levelDelay;
        level_ = admission::Level::all();
        for (auto &budget : budgets_) {
            budget.closeWindows(now_);
            level_ = std::min(level_, budget.coveredLevel());
        }
    }

    void request(const admission::Priority &priority, double refusalProbability, Tally &tally)
    {
        ++tally.arrived_;
        const bool isCovered = level_.covers(priority);
        const auto scope = std::to_string(priority.rank_);
        if (!isCovered && !gate_.admits(scope, false, now_)) {
            ++tally.refused_;
            return;
        }
        const bool isServed = runCalls(priority, refusalProbability);
        tally.served_ += isServed ? 1 : 0;
        if (!isCovered)
            gate_.recordEnd(scope, isServed, now_);
    }

    bool runCalls(const admission::Priority &priority, double refusalProbability)
    {
        for (int i = 0; i < calls_; ++i) {
            randomBudget().recordFirstArrival(now_);
            while (random_.unit() < refusalProbability) {
                if (!randomBudget().spend(RepeatKind::AfterRefusal, priority,
                                          static_cast<std::uint32_t>(i), now_))
                    return false;
                ++repeats_;
            }
        }
        return true;
    }

    ArrivalBudget &randomBudget() { return budgets_[random_.below(budgets_.size())]; }

    int calls_;
    std::vector<ArrivalBudget> budgets_{3, ArrivalBudget(executorRatio)};
    retry::StartGate gate_;
    admission::Level level_ = admission::Level::all();
    base::Random random_{1};
    Millis now_{1000};
    Millis levelDue_;
    double repeats_ = 0;
};

class Refusals : public testing::TestWithParam<std::tuple<double, int>>
{};

} // namespace

// All servers of a service refuse a share of the calls for 8 s. A request of a better rank counts
// as much as 16 of the next one.
TEST_P(Refusals, repeatsServeNearlyAsManyRequestsAsAPlannerWould)
{
    const auto [refusalProbability, calls] = GetParam();
    RefusingService service(calls);
    service.run(calmTime, 0);
    const auto tallies = service.run(faultTime, refusalProbability);
    const double allowed = executorRatio * requestsPerSecond * calls * 10;
    EXPECT_LE(service.repeats(), platformRatio / executorRatio * allowed);

    const Planner planner(refusalProbability, calls);
    // Repeats are spread over the window in which the platform counts them.
    double repeatsLeft = allowed * static_cast<double>(faultTime.count()) / 10'000;
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

INSTANTIATE_TEST_SUITE_P(SharesAndCalls, Refusals,
                         testing::Combine(testing::Values(0.1, 0.25, 0.4, 0.55, 0.6),
                                          testing::Values(1, 2, 4, 8)));
