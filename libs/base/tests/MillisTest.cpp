#include <base/Hash.h>
#include <base/Millis.h>

#include <gtest/gtest.h>

using base::Millis;

TEST(Millis, keepsMicrosecondResolution)
{
    EXPECT_EQ(Millis::fromMicros(1500).count(), 1);
    EXPECT_DOUBLE_EQ(Millis::fromMicros(1500).fractional(), 1.5);
    EXPECT_LT(Millis(1), Millis::fromMicros(1001));
    EXPECT_EQ(Millis(2) + Millis(3), Millis(5));
}

TEST(Millis, maxDoesNotOverflowOnAddition)
{
    EXPECT_GT(Millis::max() + Millis(1), Millis::max());
}

TEST(Hash, isStableAcrossBuilds)
{
    EXPECT_EQ(base::hash64(""), 0xef46db3751d8e999ULL);
}
