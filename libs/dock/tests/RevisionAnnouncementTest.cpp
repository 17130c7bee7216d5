#include <details/RevisionAnnouncement.h>

#include <set>

#include <gtest/gtest.h>

using namespace dock::details;

namespace {

std::vector<model::Member> membersOf(std::size_t dataCentres, std::size_t each)
{
    std::vector<model::Member> members;
    for (std::size_t i = 0; i < dataCentres * each; ++i)
        members.push_back({.id_ = "m" + std::to_string(i),
                           .dataCentre_ = "d" + std::to_string(i % dataCentres)});
    return members;
}

} // namespace

TEST(RevisionAnnouncement, encodeParseRoundTrip)
{
    const RevisionAnnouncement announcement{17, "a", {"10.0.0.1", 7620}, true};
    EXPECT_EQ(*RevisionAnnouncement::parse(announcement.encode()), announcement);
}

TEST(RevisionAnnouncement, malformedTextIsRejected)
{
    for (const auto *text :
         {"", "17", "x a 10.0.0.1:1 tell", "17 a nowhere tell", "17 a 1.2.3.4:5"})
        EXPECT_FALSE(RevisionAnnouncement::parse(text)) << text;
}

TEST(RevisionAnnouncement, revisionFromLogGoesToOwnDataCentreAndTwoOfEachOther)
{
    const auto members = membersOf(5, 20);
    base::Random random(1);
    const auto targets = announcementTargets(members, "m0", "d0", RevisionOrigin::Log, random);
    EXPECT_EQ(targets.ownDataCentre_.size(), 19U);
    EXPECT_EQ(targets.otherDataCentres_.size(), 8U);
    std::set<std::string> receivers;
    for (const auto *member : targets.otherDataCentres_)
        receivers.insert(member->id_);
    EXPECT_EQ(receivers.size(), 8U);
}

TEST(RevisionAnnouncement, revisionFromOtherDataCentreGoesToOwnOneOnly)
{
    const auto members = membersOf(3, 4);
    base::Random random(1);
    const auto targets =
            announcementTargets(members, "m0", "d0", RevisionOrigin::OtherDataCentre, random);
    EXPECT_EQ(targets.ownDataCentre_.size(), 3U);
    EXPECT_TRUE(targets.otherDataCentres_.empty());
}

TEST(RevisionAnnouncement, revisionFromOwnDataCentreIsNotForwarded)
{
    const auto members = membersOf(3, 4);
    base::Random random(1);
    EXPECT_TRUE(announcementTargets(members, "m0", "d0", RevisionOrigin::OwnDataCentre, random)
                        .ownDataCentre_.empty());
}
