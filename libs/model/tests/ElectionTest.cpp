#include <model/Election.h>

#include <gtest/gtest.h>

using model::isElectedFor;
using model::Member;

namespace {

constexpr std::size_t electedPerDataCentre = 2;

std::vector<Member> membersOf(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back({.id_ = "m" + std::to_string(i), .dataCentre_ = i % 3 == 0 ? "a" : "b"});
    return members;
}

std::vector<std::string> readersOf(const std::vector<Member> &members)
{
    std::vector<std::string> readers;
    for (const auto &member : members) {
        if (isElectedFor("reader", members, member.id_, member.dataCentre_, electedPerDataCentre))
            readers.push_back(member.id_);
    }
    return readers;
}

} // namespace

TEST(Election, electsRequestedCountPerDataCentre)
{
    for (const std::size_t count : {30, 100, 300})
        EXPECT_EQ(readersOf(membersOf(count)).size(), 2 * electedPerDataCentre) << count;
}

TEST(Election, electsSelfWithoutOtherMembers)
{
    EXPECT_TRUE(isElectedFor("reader", {}, "m1", "a", electedPerDataCentre));
}

TEST(Election, replacesOnlyTheRemovedMember)
{
    auto members = membersOf(100);
    const auto before = readersOf(members);
    std::erase_if(members, [&](const Member &member) { return member.id_ == before[0]; });
    const auto after = readersOf(members);
    EXPECT_EQ(after.size(), before.size());
    for (std::size_t i = 1; i < before.size(); ++i)
        EXPECT_NE(std::find(after.begin(), after.end(), before[i]), after.end());
}

TEST(Election, ranksMembersInOneOrder)
{
    const auto members = membersOf(30);
    for (const auto &member : members) {
        const auto higher = model::higherRanked("reader", members, member.id_, member.dataCentre_);
        for (const auto *other : higher) {
            EXPECT_EQ(other->dataCentre_, member.dataCentre_);
            EXPECT_LT(model::higherRanked("reader", members, other->id_, other->dataCentre_).size(),
                      higher.size());
        }
        EXPECT_EQ(isElectedFor("reader", members, member.id_, member.dataCentre_, 3),
                  higher.size() < 3);
    }
}
