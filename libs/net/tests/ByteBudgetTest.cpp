#include <vector>

#include <gtest/gtest.h>
#include <net/ByteReservation.h>

using net::ByteBudget;
using net::ByteReservation;

namespace {

constexpr std::size_t limit = 1'000'000;
constexpr std::size_t readSize = 1000;

} // namespace

TEST(ByteBudget, singleMessageGetsAtMostHalf)
{
    ByteBudget budget(limit);
    ByteReservation message;
    while (message.tryReserve(budget, readSize)) {
    }
    EXPECT_EQ(message.size(), limit / 2);
    EXPECT_EQ(budget.refusalCount(), 1U);
}

// 200 messages of unbounded size fill the budget and are never released; a small one still fits.
TEST(ByteBudget, unboundedMessagesLeaveRoomForOthers)
{
    constexpr std::size_t unboundedCount = 200;
    ByteBudget budget(limit);
    std::vector<ByteReservation> unbounded(unboundedCount);
    for (bool hasGrown = true; hasGrown;) {
        hasGrown = false;
        for (auto &message : unbounded)
            hasGrown = message.tryReserve(budget, 10) || hasGrown;
    }
    EXPECT_LE(budget.reservedBytes(), limit);
    ByteReservation small;
    EXPECT_TRUE(small.tryReserve(budget, limit / (unboundedCount + 1) / 2));
}

TEST(ByteBudget, destroyedReservationsReturnTheirBytes)
{
    ByteBudget budget(limit);
    {
        ByteReservation message;
        ASSERT_TRUE(message.tryReserve(budget, readSize));
        auto moved = std::move(message);
        EXPECT_EQ(budget.reservedBytes(), readSize);
        EXPECT_EQ(moved.size(), readSize);
    }
    EXPECT_EQ(budget.reservedBytes(), 0U);
}

// Bytes that move within the process are reserved without a check and may briefly exceed the limit.
TEST(ByteBudget, refusesGrowthAboveTheLimit)
{
    ByteBudget budget(limit);
    ByteReservation moved;
    moved.reserve(budget, limit + readSize);
    ByteReservation other;
    EXPECT_FALSE(other.tryReserve(budget, 1));
    moved.release();
    EXPECT_TRUE(other.tryReserve(budget, 1));
}
