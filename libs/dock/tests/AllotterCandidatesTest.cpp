#include "details/AllotterCandidates.h"

#include <algorithm>

#include <gtest/gtest.h>

using dock::details::allotterCandidates;

namespace {

std::vector<model::Member> someMembers(int count)
{
    std::vector<model::Member> members;
    for (int i = 0; i < count; ++i)
        members.push_back(
                {.id_ = "daemon-" + std::to_string(i), .dataCentre_ = i % 2 == 0 ? "a" : "b"});
    return members;
}

} // namespace

TEST(AllotterCandidates, areEqualAtAllDaemonsAndChangeOnlyWithTheirLoss)
{
    auto members = someMembers(79);
    const auto before = allotterCandidates(2, members);
    ASSERT_EQ(before.size(), 8U);
    std::reverse(members.begin(), members.end());
    EXPECT_EQ(allotterCandidates(2, members), before);
    std::erase_if(members, [&before](const auto &member) { return member.id_ == before[0]; });
    const auto after = allotterCandidates(2, members);
    EXPECT_TRUE(std::equal(before.begin() + 1, before.end(), after.begin()));
    EXPECT_NE(allotterCandidates(1, members), after);
}

TEST(AllotterCandidates, takeLeavingDaemonsLast)
{
    auto members = someMembers(3);
    const auto first = allotterCandidates(0, members).front();
    for (auto &member : members) {
        if (member.id_ == first)
            member.serving_ = model::ServingState::Draining;
    }
    const auto candidates = allotterCandidates(0, members);
    ASSERT_EQ(candidates.size(), 3U);
    EXPECT_EQ(candidates.back(), first);
}
