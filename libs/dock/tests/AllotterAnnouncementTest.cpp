#include "details/AllotterAnnouncement.h"

#include <gtest/gtest.h>

using dock::details::AllotterAnnouncement;

TEST(AllotterAnnouncement, isReadAsItWasWritten)
{
    const AllotterAnnouncement announcement{3, "daemon-7", 42};
    EXPECT_EQ(AllotterAnnouncement::parse(announcement.encode()), announcement);
}

TEST(AllotterAnnouncement, isUnderstoodByAndFromDaemonsOfEarlierVersions)
{
    // These know only the body, and take all of it after the group for the id.
    EXPECT_EQ((AllotterAnnouncement{3, "daemon-7", 42}.encode().body_), "3 daemon-7");
    const AllotterAnnouncement withoutEnd{3, "daemon-7", {}};
    EXPECT_EQ(AllotterAnnouncement::parse({.body_ = "3 daemon-7"}), withoutEnd);
}

TEST(AllotterAnnouncement, isRefusedIfMalformed)
{
    for (const char *body : {"", "1", "1 ", " d", "4 d", "-1 d", "x d", "1x d"})
        EXPECT_FALSE(AllotterAnnouncement::parse({.body_ = body})) << body;
}
