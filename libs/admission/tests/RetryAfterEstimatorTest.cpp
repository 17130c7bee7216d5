#include <admission/RetryAfterEstimator.h>

#include <gtest/gtest.h>

using admission::RetryAfterEstimator;
using base::Millis;

namespace {

constexpr Millis refusalInterval(100);

/** Time returned by the last of a series of refusals over the duration. */
Millis lastRetryAfter(Millis duration, RetryAfterEstimator &estimator, Millis from = Millis(10'000))
{
    Millis retryAfter;
    for (auto now = from; now <= from + duration; now = now + refusalInterval)
        retryAfter = estimator.recordRefusal("scope", now);
    return retryAfter;
}

} // namespace

TEST(RetryAfterEstimator, retryAfterGrowsWithOverloadDuration)
{
    RetryAfterEstimator estimator(1);
    EXPECT_LE(lastRetryAfter(Millis(500), estimator), Millis(1250));
    EXPECT_GE(lastRetryAfter(Millis(3000), estimator, Millis(10'600)), Millis(2250));
    EXPECT_LE(lastRetryAfter(Millis(60'000), estimator, Millis(14'000)), Millis(6250));
}

TEST(RetryAfterEstimator, retryAfterResetsAfterAPause)
{
    RetryAfterEstimator estimator(1);
    lastRetryAfter(Millis(5000), estimator);
    EXPECT_LE(estimator.recordRefusal("scope", Millis(20'000)), Millis(1250));
}

TEST(RetryAfterEstimator, retryAfterIsJittered)
{
    RetryAfterEstimator estimator(1);
    Millis minRetryAfter = Millis::max();
    Millis maxRetryAfter;
    for (int i = 0; i < 100; ++i) {
        const auto retryAfter = estimator.recordRefusal("scope", Millis(10'000));
        minRetryAfter = std::min(minRetryAfter, retryAfter);
        maxRetryAfter = std::max(maxRetryAfter, retryAfter);
    }
    EXPECT_LT(minRetryAfter, Millis(850));
    EXPECT_GT(maxRetryAfter, Millis(1150));
}

TEST(RetryAfterEstimator, prunesScopesWithoutRecentRefusals)
{
    RetryAfterEstimator estimator(1);
    for (int i = 0; i < 100; ++i)
        estimator.recordRefusal(std::to_string(i), Millis(10'000));
    estimator.prune(Millis(20'000));
    EXPECT_EQ(estimator.scopeCount(), 0U);
}

TEST(RetryAfterEstimator, avoidsRepeatedRefusals)
{
    // All of 500 calls per second are refused for 4 s. Each has 6 s left and retries once if the
    // retry-after time is at most a third of that.
    constexpr Millis maxWait(2000);
    constexpr Millis overload(4000);
    RetryAfterEstimator estimator(1);
    int refusedAgain = 0;
    int served = 0;
    for (Millis now; now < overload; now = now + Millis(2)) {
        const auto retryAfter = estimator.recordRefusal("scope", Millis(10'000) + now);
        if (retryAfter > maxWait)
            continue;
        if (now + retryAfter < overload)
            ++refusedAgain;
        else
            ++served;
    }
    // With a fixed time of one second, 1,500 would be refused again; at least a third of these is
    // avoided.
    EXPECT_LT(refusedAgain, 1000);
    EXPECT_GT(refusedAgain + served, 900);
}

TEST(RetryAfterEstimator, retryAfterIndependentOfLoadIsShortAndSpread)
{
    RetryAfterEstimator estimator(1);
    Millis minRetryAfter = Millis::max();
    Millis maxRetryAfter;
    for (int i = 0; i < 100; ++i) {
        const auto retryAfter = estimator.independentOfLoad();
        minRetryAfter = std::min(minRetryAfter, retryAfter);
        maxRetryAfter = std::max(maxRetryAfter, retryAfter);
    }
    EXPECT_GE(minRetryAfter, Millis(100));
    EXPECT_LT(minRetryAfter, Millis(120));
    EXPECT_GT(maxRetryAfter, Millis(280));
    EXPECT_LE(maxRetryAfter, Millis(300));
}
