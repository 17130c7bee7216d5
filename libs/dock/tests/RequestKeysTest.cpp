#include <details/RequestKeys.h>

#include <gtest/gtest.h>

using base::Millis;
using dock::details::RequestKeys;

namespace {

once::Key keyWith(std::uint64_t serial, Millis expiry)
{
    return {.serial_ = serial, .expiry_ = expiry};
}

} // namespace

TEST(RequestKeys, findReturnsTheKeyOfARepeatedRequest)
{
    RequestKeys keys(10);
    EXPECT_EQ(keys.find("a", Millis(0)), nullptr);
    EXPECT_TRUE(keys.add("a", keyWith(1, Millis(100)), Millis(0)));
    EXPECT_TRUE(keys.add("b", keyWith(2, Millis(100)), Millis(0)));
    ASSERT_NE(keys.find("a", Millis(99)), nullptr);
    EXPECT_EQ(keys.find("a", Millis(99))->serial_, 1U);
    EXPECT_EQ(keys.find("b", Millis(99))->serial_, 2U);
}

TEST(RequestKeys, addKeepsTheFirstKey)
{
    RequestKeys keys(10);
    keys.add("a", keyWith(1, Millis(100)), Millis(0));
    keys.add("a", keyWith(2, Millis(200)), Millis(50));
    EXPECT_EQ(keys.find("a", Millis(60))->serial_, 1U);
}

TEST(RequestKeys, expiredKeysAreRemovedAndFreeRoom)
{
    RequestKeys keys(2);
    EXPECT_TRUE(keys.add("a", keyWith(1, Millis(100)), Millis(0)));
    EXPECT_TRUE(keys.add("b", keyWith(2, Millis(150)), Millis(50)));
    EXPECT_FALSE(keys.add("c", keyWith(3, Millis(160)), Millis(60)));
    EXPECT_EQ(keys.find("a", Millis(100)), nullptr);
    EXPECT_TRUE(keys.add("c", keyWith(3, Millis(200)), Millis(100)));
    EXPECT_NE(keys.find("b", Millis(149)), nullptr);
    EXPECT_EQ(keys.size(), 2U);
}
