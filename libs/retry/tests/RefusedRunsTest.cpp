#include <retry/ArrivalBudget.h>
#include <retry/ContextTable.h>
#include <retry/Core.h>

#include <cmath>

#include <base/Random.h>
#include <gtest/gtest.h>

using namespace retry;
using base::Millis;

namespace {

constexpr double refusedRatio = 0.1;

RetrySettings settings()
{
    return {.mostRefused_ = 3, .hasRatio_ = false};
}

/** Calls whose attempts backend servers refuse without running them. */
class RefusedRuns : public testing::Test
{
protected:
    /** Starts a call; extra attempts beyond those refused are not answered. */
    CallId start(std::uint32_t mostRepeats = 1)
    {
        arrivals_.noteFirst(now_);
        core_.handle(CallStarted{.call_ = ++call_,
                                 .origin_ = ChildCall{"no such context"},
                                 .requestClass_ = "clock",
                                 .mostRepeats_ = mostRepeats,
                                 .idempotent_ = true,
                                 .deadline_ = now_ + Millis(700)},
                     now_);
        return call_;
    }

    /** Whether the call gets another attempt after this end of its attempt. */
    bool isRepeated(CallId call, std::uint32_t attempt,
                    AttemptResult result = AttemptResult::NotRun)
    {
        const auto told = core_.handle(AttemptEnded{.call_ = call,
                                                    .attempt_ = attempt,
                                                    .result_ = result,
                                                    .instance_ = "i",
                                                    .reachedBackend_ = true},
                                       now_);
        if (told.empty())
            return false;
        if (const auto *end = std::get_if<GiveUp>(&told[0])) {
            end_ = *end;
            return false;
        }
        return true;
    }

    /**
     * One request that makes its calls one after another, each attempt refused with that chance:
     * whether all of its calls are run in the end.
     */
    bool isServed(const admission::Priority &priority, int calls, double chance)
    {
        for (int i = 0; i < calls; ++i) {
            const auto call = start();
            for (std::uint32_t attempt = 1; random_.unit() < chance; ++attempt) {
                if (!isRepeated(call, attempt)
                    || !arrivals_.spend(RepeatKind::AfterRefusal, priority, now_))
                    return false;
            }
            core_.handle(CallEnded{call}, now_);
        }
        return true;
    }

    ContextTable contexts_{"secret"};
    Core core_{settings(), contexts_, 1};
    ArrivalBudget arrivals_{refusedRatio};
    base::Random random_{1};
    Millis now_ = Millis(1000);
    CallId call_ = 0;
    GiveUp end_;
};

} // namespace

TEST_F(RefusedRuns, areRepeatedWithoutTheBudgetOfTheChain)
{
    // Its context has no budget, as that of most calls deep in a chain.
    EXPECT_TRUE(isRepeated(start(), 1));
}

TEST_F(RefusedRuns, areRepeatedThreeTimesAtMost)
{
    Core rich(settings(), contexts_, 1);
    rich.handle(CallStarted{.call_ = 1, .idempotent_ = true, .deadline_ = Millis(10'000)}, now_);
    const auto commandAfter = [&](std::uint32_t attempt) {
        return rich
                .handle(AttemptEnded{.call_ = 1,
                                     .attempt_ = attempt,
                                     .result_ = AttemptResult::NotRun,
                                     .instance_ = "i"},
                        now_)
                .at(0);
    };
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt)
        EXPECT_TRUE(std::holds_alternative<StartAttempt>(commandAfter(attempt)));
    EXPECT_TRUE(std::holds_alternative<GiveUp>(commandAfter(4)));
}

TEST_F(RefusedRuns, arePaidForByTheirRatio)
{
    constexpr int calls = 2000;
    int repeated = 0;
    for (int i = 0; i < calls; ++i) {
        if (isRepeated(start(), 1) && arrivals_.spend(RepeatKind::AfterRefusal, {}, now_))
            ++repeated;
        now_ = now_ + Millis(1);
    }
    EXPECT_LE(repeated, calls * refusedRatio + 1);
    EXPECT_EQ(arrivals_.refused(), static_cast<std::uint64_t>(calls - repeated));
}

TEST_F(RefusedRuns, aLostRunIsStillBoundedByTheChain)
{
    EXPECT_FALSE(isRepeated(start(), 1, AttemptResult::Lost));
    EXPECT_EQ(end_.reason_, StopReason::BudgetSpent);
}

TEST_F(RefusedRuns, aCallHasItsOwnBoundBesideThatOfTheChain)
{
    core_.handle(CallStarted{.call_ = 1,
                             .origin_ = RootCall{16},
                             .ratio_ = 1,
                             .mostRepeats_ = 1,
                             .idempotent_ = true,
                             .deadline_ = Millis(10'000)},
                 now_);
    EXPECT_TRUE(isRepeated(1, 1, AttemptResult::Lost));
    // Another call earns a token that this one would need.
    core_.handle(CallStarted{.call_ = 2, .ratio_ = 1, .deadline_ = Millis(10'000)}, now_);
    EXPECT_FALSE(isRepeated(1, 2, AttemptResult::Lost));
    EXPECT_EQ(end_.reason_, StopReason::BudgetSpent);
}

// All servers of a deep service refuse 45 of 100 requests, as nve-auction's day scale-1 has it.
// Five calls without repeats are all run for 5 requests in 100; repeats for a tenth of the calls
// are enough for some whole requests only. Best would be to give them to these alone, who need four
// each.
TEST_F(RefusedRuns, wholeRequestsAreServedByBestPriorities)
{
    constexpr double chance = 0.45;
    constexpr int callsOfARequest = 5;
    constexpr int settling = 2000;
    constexpr int measured = 8000;
    const double luck = std::pow(1 - chance, callsOfARequest);
    const double repeatsOfARequest = callsOfARequest * chance / (1 - chance);
    CallId callsBefore = 0;
    int served = 0;
    int servedOfBest = 0;
    int ofBest = 0;
    for (int i = 0; i < settling + measured; ++i) {
        // 300 requests a second, of two ranks.
        now_ = now_ + Millis::fromMicros(3333);
        const admission::Priority priority{.rank_ = i % 2,
                                           .bucket_ = static_cast<int>(random_.below(128))};
        const bool isWhole = isServed(priority, callsOfARequest, chance);
        if (i < settling) {
            callsBefore = call_;
            continue;
        }
        served += isWhole ? 1 : 0;
        if (priority.rank_ == 0 && priority.bucket_ < 16) {
            ++ofBest;
            servedOfBest += isWhole ? 1 : 0;
        }
    }
    const double repeats = static_cast<double>(call_ - callsBefore) * refusedRatio;
    const double wholeByRepeats = repeats / repeatsOfARequest;
    const double optimum = wholeByRepeats + luck * (measured - wholeByRepeats);
    EXPECT_GT(served, 0.9 * optimum);
    EXPECT_GT(servedOfBest, 4 * luck * ofBest);
}
