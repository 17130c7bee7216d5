#include <follow/Confirmation.h>

#include <gtest/gtest.h>

using base::Millis;
using follow::Confirmation;

TEST(Confirmation, parsesItsOwnText)
{
    const Confirmation confirmation{17, Millis(250)};
    EXPECT_EQ(Confirmation::parse(confirmation.encode()), confirmation);
}

TEST(Confirmation, roundsItsAgeUp)
{
    EXPECT_EQ((Confirmation{17, Millis::fromMicros(250'001)}.encode()), "17 251");
}

TEST(Confirmation, refusesDamagedText)
{
    for (const char *text : {"", "17", "17 x", "x 5", "17 -1", "17 5 6", "17 99999999999999999999"})
        EXPECT_FALSE(Confirmation::parse(text)) << text;
}
