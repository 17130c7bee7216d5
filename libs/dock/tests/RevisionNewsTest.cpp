#include <details/RevisionNews.h>

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

TEST(RevisionNews, textIsReadBack)
{
    const RevisionNews news{17, "a", {"10.0.0.1", 7620}, true};
    EXPECT_EQ(*RevisionNews::parse(news.text()), news);
}

TEST(RevisionNews, damagedTextIsAnError)
{
    for (const auto *text :
         {"", "17", "x a 10.0.0.1:1 tell", "17 a nowhere tell", "17 a 1.2.3.4:5"})
        EXPECT_FALSE(RevisionNews::parse(text)) << text;
}

TEST(RevisionNews, aReaderTellsItsDataCentreAndTwoOfEachOther)
{
    const auto members = membersOf(5, 20);
    base::Random random(1);
    const auto targets = newsTargets(members, "m0", "d0", LearntFrom::Log, random);
    EXPECT_EQ(targets.ownDataCentre_.size(), 19U);
    EXPECT_EQ(targets.otherDataCentres_.size(), 8U);
    std::set<std::string> told;
    for (const auto *member : targets.otherDataCentres_)
        told.insert(member->id_);
    EXPECT_EQ(told.size(), 8U);
}

TEST(RevisionNews, newsOfAnotherDataCentreGoToTheOwnOneOnly)
{
    const auto members = membersOf(3, 4);
    base::Random random(1);
    const auto targets = newsTargets(members, "m0", "d0", LearntFrom::OtherDataCentre, random);
    EXPECT_EQ(targets.ownDataCentre_.size(), 3U);
    EXPECT_TRUE(targets.otherDataCentres_.empty());
}

TEST(RevisionNews, newsOfTheOwnDataCentreEndHere)
{
    const auto members = membersOf(3, 4);
    base::Random random(1);
    EXPECT_TRUE(newsTargets(members, "m0", "d0", LearntFrom::OwnDataCentre, random)
                        .ownDataCentre_.empty());
}
