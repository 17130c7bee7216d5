#include <vector>

#include <gtest/gtest.h>
#include <net/ByteReservation.h>

using net::ByteBudget;
using net::ByteReservation;

namespace {

constexpr std::size_t limit = 1'000'000;
constexpr std::size_t readSize = 1000;

} // namespace

TEST(ByteBudget, oneMessageTakesHalfAtMost)
{
    ByteBudget budget(limit);
    ByteReservation message;
    while (message.tryReserve(budget, readSize)) {
    }
    EXPECT_EQ(message.size(), limit / 2);
    EXPECT_EQ(budget.refused(), 1U);
}

// 200 messages grow without end and are never given up: a small one still finds room.
TEST(ByteBudget, messagesWithoutEndLeaveRoomForOthers)
{
    constexpr std::size_t unboundedCount = 200;
    ByteBudget budget(limit);
    std::vector<ByteReservation> unbounded(unboundedCount);
    for (bool hasGrown = true; hasGrown;) {
        hasGrown = false;
        for (auto &message : unbounded)
            hasGrown = message.tryReserve(budget, 10) || hasGrown;
    }
    EXPECT_LE(budget.held(), limit);
    ByteReservation small;
    EXPECT_TRUE(small.tryReserve(budget, limit / (unboundedCount + 1) / 2));
}

TEST(ByteBudget, endedMessagesGiveBackTheirBytes)
{
    ByteBudget budget(limit);
    {
        ByteReservation message;
        ASSERT_TRUE(message.tryReserve(budget, readSize));
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
    ByteReservation moved;
    moved.reserve(budget, limit + readSize);
    ByteReservation other;
    EXPECT_FALSE(other.tryReserve(budget, 1));
    moved.release();
    EXPECT_TRUE(other.tryReserve(budget, 1));
}
