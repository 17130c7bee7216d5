#include <heartbeat/Tracker.h>

#include <gtest/gtest.h>

using heartbeat::Deregistration;
using heartbeat::Heartbeat;
using heartbeat::Tracker;
using heartbeat::Verdict;

namespace {

const model::Address address{"10.0.0.1", 8301};

Heartbeat beat(std::uint64_t sequence, std::int64_t startedAt = 1000, std::string id = "i-1")
{
    return {.instanceId_ = std::move(id),
            .startedAt_ = startedAt,
            .sequence_ = sequence,
            .service_ = "wallet",
            .address_ = address,
            .slots_ = 9};
}

Tracker tracker()
{
    return {"wallet", address};
}

} // namespace

TEST(Tracker, repeatedAndLateHeartbeatsChangeNothing)
{
    auto subject = tracker();
    EXPECT_EQ(subject.take(beat(2)), Verdict::Accepted);
    EXPECT_EQ(subject.take(beat(2)), Verdict::Late);
    EXPECT_EQ(subject.take(beat(1)), Verdict::Late);
    EXPECT_EQ(subject.take(beat(3)), Verdict::Accepted);
}

// The daemon restarts, is told that its backend server leaves, and then gets a delayed heartbeat.
TEST(Tracker, aHeartbeatAfterADeregistrationThatCameFirstIsOfOneThatHasLeft)
{
    auto subject = tracker();
    subject.take(Deregistration{"i-1", 1000});
    EXPECT_EQ(subject.take(beat(7)), Verdict::Left);
    EXPECT_EQ(subject.take(beat(1, 2000)), Verdict::Accepted);
}

TEST(Tracker, aLaterIncarnationUnderTheSameIdStartsItsSequenceAnew)
{
    auto subject = tracker();
    subject.take(beat(40));
    EXPECT_EQ(subject.take(beat(1, 2000)), Verdict::Accepted);
    EXPECT_EQ(subject.take(beat(41)), Verdict::Late);
    EXPECT_EQ(subject.last()->startedAt_, 2000);
}

TEST(Tracker, aDelayedHeartbeatOfAReplacedInstanceIsLate)
{
    auto subject = tracker();
    subject.take(beat(7, 2000, "i-2"));
    EXPECT_EQ(subject.take(beat(50, 1000, "i-1")), Verdict::Late);
}

TEST(Tracker, heartbeatsAfterDeregistrationDoNotBringTheInstanceBack)
{
    auto subject = tracker();
    subject.take(beat(1));
    EXPECT_EQ(subject.take(Deregistration{"i-1", 1000}), Verdict::Accepted);
    EXPECT_EQ(subject.take(beat(2)), Verdict::Left);
    EXPECT_TRUE(subject.hasLeft());
    EXPECT_EQ(subject.take(beat(1, 3000)), Verdict::Accepted);
    EXPECT_FALSE(subject.hasLeft());
}

TEST(Tracker, aDeregistrationOfAnEarlierIncarnationIsLate)
{
    auto subject = tracker();
    subject.take(beat(1, 2000));
    EXPECT_EQ(subject.take(Deregistration{"i-1", 1000}), Verdict::Late);
    EXPECT_EQ(subject.take(Deregistration{"i-9", {}}), Verdict::Foreign);
    EXPECT_FALSE(subject.hasLeft());
    EXPECT_EQ(subject.take(Deregistration{"i-1", {}}), Verdict::Accepted);
}

TEST(Tracker, otherServicesAndAddressesAreForeign)
{
    auto subject = tracker();
    auto other = beat(1);
    other.service_ = "redeem";
    EXPECT_EQ(subject.take(other), Verdict::Foreign);
    other = beat(1);
    other.address_.port_ = 1;
    EXPECT_EQ(subject.take(other), Verdict::Foreign);
    EXPECT_FALSE(subject.last().has_value());
}
