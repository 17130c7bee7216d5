#include <admission/ReturnTimes.h>

#include <gtest/gtest.h>

using admission::ReturnTimes;
using base::Millis;

namespace {

constexpr Millis refusalInterval(100);

/** The last of the times told to callers that are refused all the while. */
Millis afterOverloadOf(Millis length, ReturnTimes &times, Millis from = Millis(10'000))
{
    Millis told;
    for (auto now = from; now <= from + length; now = now + refusalInterval)
        told = times.refused("scope", now);
    return told;
}

} // namespace

TEST(ReturnTimes, growWithTheOverload)
{
    ReturnTimes times(1);
    EXPECT_LE(afterOverloadOf(Millis(500), times), Millis(1250));
    EXPECT_GE(afterOverloadOf(Millis(3000), times, Millis(10'600)), Millis(2250));
    EXPECT_LE(afterOverloadOf(Millis(60'000), times, Millis(14'000)), Millis(6250));
}

TEST(ReturnTimes, beginAnewAfterAPause)
{
    ReturnTimes times(1);
    afterOverloadOf(Millis(5000), times);
    EXPECT_LE(times.refused("scope", Millis(20'000)), Millis(1250));
}

TEST(ReturnTimes, areSpread)
{
    ReturnTimes times(1);
    Millis least = Millis::max();
    Millis most;
    for (int i = 0; i < 100; ++i) {
        const auto told = times.refused("scope", Millis(10'000));
        least = std::min(least, told);
        most = std::max(most, told);
    }
    EXPECT_LT(least, Millis(850));
    EXPECT_GT(most, Millis(1150));
}

TEST(ReturnTimes, forgetScopesThatAreNotRefusedAnyMore)
{
    ReturnTimes times(1);
    for (int i = 0; i < 100; ++i)
        times.refused(std::to_string(i), Millis(10'000));
    times.prune(Millis(20'000));
    EXPECT_EQ(times.scopeCount(), 0U);
}

TEST(ReturnTimes, sparesCallersASecondRefusal)
{
    // 500 callers a second for 4 s, of which the overload refuses all; each has 6 s and comes back
    // once if it is told a third of that at most.
    constexpr Millis third(2000);
    constexpr Millis overload(4000);
    ReturnTimes times(1);
    int refusedAgain = 0;
    int served = 0;
    for (Millis now; now < overload; now = now + Millis(2)) {
        const auto told = times.refused("scope", Millis(10'000) + now);
        if (told > third)
            continue;
        if (now + told < overload)
            ++refusedAgain;
        else
            ++served;
    }
    // With one second for all, 1,500 are refused again: at least a third of them is spared it.
    EXPECT_LT(refusedAgain, 1000);
    EXPECT_GT(refusedAgain + served, 900);
}
