#include <balance/HandBack.h>
#include <balance/HoldingTime.h>
#include <balance/ObservedLoad.h>

#include <gtest/gtest.h>

using namespace balance;
using base::Millis;

TEST(ObservedLoad, ownCallsAreExactAndOthersTendToTheFairShare)
{
    // Of 10 requests, 4 are from this daemon.
    const ObservedLoad load({.active_ = 10, .limit_ = 20, .holding_ = Millis(100)}, 4, Millis(0));
    EXPECT_DOUBLE_EQ(load.active(4, 16.0, Millis(0)), 10.0);
    EXPECT_DOUBLE_EQ(load.active(7, 16.0, Millis(0)), 13.0);
    EXPECT_NEAR(load.active(4, 16.0, Millis(2000)), 13.8, 0.1);
    EXPECT_NEAR(load.active(4, 16.0, Millis(20'000)), 16.0, 0.1);
}

TEST(HandBack, onlyLongWaitsAreHandedBack)
{
    const LoadReport full{.active_ = 20, .limit_ = 20, .holding_ = Millis(100)};
    EXPECT_EQ(expectedWait(full, 0), Millis(5));
    EXPECT_TRUE(isHandedBack(full, 0, Millis(4)));
    EXPECT_FALSE(isHandedBack(full, 0, Millis(5)));
    EXPECT_FALSE(isHandedBack(full, 0, std::nullopt));
    EXPECT_FALSE(
            isHandedBack({.active_ = 19, .limit_ = 20, .holding_ = Millis(100)}, 0, Millis(0)));
}

TEST(HoldingTime, followsCompletionsAndTheRelativeSlowness)
{
    HoldingTime time;
    EXPECT_EQ(time.mean(), Millis());
    for (int i = 0; i < 500; ++i) {
        time.recordCompletion(Millis(40));
        time.recordSlowness(1.6);
    }
    // A machine that is always slow: its service times show it already.
    EXPECT_NEAR(time.mean().fractional(), 40.0, 0.5);
    for (int i = 0; i < 8; ++i)
        time.recordSlowness(3.2);
    EXPECT_GT(time.mean(), Millis(55));
    time.recordSlowness(-1.0);
    time.recordSlowness(1e9);
    EXPECT_LE(time.mean(), Millis(80));
}
