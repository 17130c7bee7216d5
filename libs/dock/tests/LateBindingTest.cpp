#include <admission/Core.h>

#include <gtest/gtest.h>

#include "details/LateBinding.h"

using base::Millis;
using dock::details::isHandedBack;

namespace {

constexpr Millis holding(100);
constexpr std::uint32_t slots = 10;

/** A server whose slots are all taken, and requests of some ranks that wait for one. */
class LateBinding : public testing::Test
{
protected:
    LateBinding()
    {
        admission_.handle(admission::Configured{slots, {}}, now_);
        for (std::uint32_t i = 0; i < slots; ++i)
            arrive(0);
    }

    void arrive(int rank)
    {
        admission_.handle(admission::Arrived{.id_ = ++lastId_,
                                             .priority_ = {.rank_ = rank},
                                             .deadline_ = now_ + Millis(60'000)},
                          now_);
    }

    bool isHandedBackAtRank(int rank, Millis maxWait) const
    {
        return isHandedBack(admission_, {.rank_ = rank}, holding, maxWait);
    }

    admission::Core admission_;
    Millis now_ = Millis(1);
    admission::RequestId lastId_ = 0;
};

} // namespace

// A full server and a queue of rank 5: a slot is free in 10 ms, and a better rank gets it.
TEST_F(LateBinding, worseRanksThatWaitDoNotSendABetterOneAway)
{
    for (int i = 0; i < 5; ++i)
        arrive(5);
    ASSERT_EQ(admission_.queued(), 5U);
    const Millis firstWait(10);
    const Millis sixthWait(60);
    EXPECT_FALSE(isHandedBackAtRank(4, firstWait));
    EXPECT_TRUE(isHandedBackAtRank(5, sixthWait - Millis(1)));
    EXPECT_FALSE(isHandedBackAtRank(5, sixthWait));
    EXPECT_TRUE(isHandedBackAtRank(9, sixthWait - Millis(1)));
}

TEST_F(LateBinding, betterRanksThatWaitCount)
{
    arrive(0);
    EXPECT_TRUE(isHandedBackAtRank(4, Millis(19)));
    EXPECT_FALSE(isHandedBackAtRank(4, Millis(20)));
    EXPECT_FALSE(isHandedBack(admission_, {.rank_ = 4}, holding, std::nullopt));
}
