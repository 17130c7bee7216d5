#include <drain/UsualTimes.h>

#include <gtest/gtest.h>

using base::Millis;
using drain::UsualTimes;

TEST(UsualTimes, nothingIsKnownOfAClassWithoutRequests)
{
    UsualTimes times;
    times.record("a", Millis(10));
    EXPECT_EQ(times.of("b"), std::nullopt);
}

TEST(UsualTimes, longestOfFewRequestsIsUsual)
{
    UsualTimes times;
    for (const int time : {5, 900, 20})
        times.record("a", Millis(time));
    EXPECT_EQ(times.of("a"), Millis(900));
}

TEST(UsualTimes, oneLongRequestOfManyIsNotUsual)
{
    UsualTimes times;
    for (int i = 0; i < 99; ++i)
        times.record("a", Millis(20));
    times.record("a", Millis(4000));
    EXPECT_EQ(times.of("a"), Millis(20));
}

TEST(UsualTimes, oldRequestsAreForgotten)
{
    UsualTimes times;
    for (int i = 0; i < 100; ++i)
        times.record("a", Millis(4000));
    for (int i = 0; i < 100; ++i)
        times.record("a", Millis(20));
    EXPECT_EQ(times.of("a"), Millis(20));
}
