#include <vector>

#include <gtest/gtest.h>
#include <net/HeldBytes.h>

using net::ByteBudget;
using net::HeldBytes;

namespace {

constexpr std::size_t limit = 1'000'000;
constexpr std::size_t readSize = 1000;

} // namespace

TEST(ByteBudget, oneMessageTakesHalfAtMost)
{
    ByteBudget budget(limit);
    HeldBytes message;
    while (message.grow(budget, readSize)) {
    }
    EXPECT_EQ(message.size(), limit / 2);
    EXPECT_EQ(budget.refused(), 1U);
}

// 200 messages grow without end and are never given up: a small one still finds room.
TEST(ByteBudget, messagesWithoutEndLeaveRoomForOthers)
{
    constexpr std::size_t greedyCount = 200;
    ByteBudget budget(limit);
    std::vector<HeldBytes> greedy(greedyCount);
    for (bool hasGrown = true; hasGrown;) {
        hasGrown = false;
        for (auto &message : greedy)
            hasGrown = message.grow(budget, 10) || hasGrown;
    }
    EXPECT_LE(budget.held(), limit);
    HeldBytes small;
    EXPECT_TRUE(small.grow(budget, limit / (greedyCount + 1) / 2));
}

TEST(ByteBudget, endedMessagesGiveBackTheirBytes)
{
    ByteBudget budget(limit);
    {
        HeldBytes message;
        ASSERT_TRUE(message.grow(budget, readSize));
        auto moved = std::move(message);
        EXPECT_EQ(budget.held(), readSize);
        EXPECT_EQ(moved.size(), readSize);
    }
    EXPECT_EQ(budget.held(), 0U);
}

// Bytes that are moved on inside the process cannot be refused, and may exceed the limit shortly.
TEST(ByteBudget, aboveItsLimitNothingGrows)
{
    ByteBudget budget(limit);
    HeldBytes moved;
    moved.take(budget, limit + readSize);
    HeldBytes other;
    EXPECT_FALSE(other.grow(budget, 1));
    moved.release();
    EXPECT_TRUE(other.grow(budget, 1));
}
