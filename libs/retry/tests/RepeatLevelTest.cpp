#include <retry/RepeatLevel.h>

#include <gtest/gtest.h>

using admission::Level;
using retry::RepeatLevel;

namespace {

/** Demand of 100 repeats in each of two ranks, spread over the buckets. */
RepeatLevel demanded()
{
    RepeatLevel level;
    for (int i = 0; i < 100; ++i) {
        level.recordDemand({.rank_ = 0, .bucket_ = i});
        level.recordDemand({.rank_ = 1, .bucket_ = i});
    }
    return level;
}

} // namespace

TEST(RepeatLevel, grantsAllWhileTheBucketIsHalfFull)
{
    auto level = demanded();
    level.closeWindow(0.5);
    EXPECT_EQ(level.level(), Level::all());
}

TEST(RepeatLevel, grantsBetterHalfOfTheDemandAtAQuarter)
{
    auto level = demanded();
    level.closeWindow(0.25);
    EXPECT_TRUE(level.level().covers({.rank_ = 0, .bucket_ = 99}));
    EXPECT_FALSE(level.level().covers({.rank_ = 1, .bucket_ = 0}));
}

TEST(RepeatLevel, grantsNothingInDebt)
{
    auto level = demanded();
    level.closeWindow(-0.1);
    EXPECT_EQ(level.level(), Level::none());
}

TEST(RepeatLevel, grantsAllOnceNothingIsDemanded)
{
    auto level = demanded();
    for (int i = 0; i < 200; ++i)
        level.closeWindow(0);
    EXPECT_EQ(level.level(), Level::all());
}

TEST(RepeatLevel, grantsAllWhileFewAreDemanded)
{
    RepeatLevel level;
    level.recordDemand({.rank_ = 0});
    level.recordDemand({.rank_ = 1});
    level.closeWindow(0);
    EXPECT_EQ(level.level(), Level::all());
}
