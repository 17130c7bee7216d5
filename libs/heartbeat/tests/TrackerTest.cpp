#include <heartbeat/Tracker.h>

#include <base/Hash.h>
#include <gtest/gtest.h>

using heartbeat::Deregistration;
using heartbeat::Heartbeat;
using heartbeat::Tracker;
using heartbeat::Verdict;

namespace {

const model::Address address{"10.0.0.1", 8301};

Heartbeat makeHeartbeat(std::uint64_t sequence, std::int64_t startedAt = 1000,
                        std::string id = "i-1")
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

TEST(Tracker, rejectsRepeatedAndOutOfOrderHeartbeats)
{
    auto subject = tracker();
    EXPECT_EQ(subject.process(makeHeartbeat(2)), Verdict::Accepted);
    EXPECT_EQ(subject.process(makeHeartbeat(2)), Verdict::Stale);
    EXPECT_EQ(subject.process(makeHeartbeat(1)), Verdict::Stale);
    EXPECT_EQ(subject.process(makeHeartbeat(3)), Verdict::Accepted);
}

// After a restart the daemon receives the deregistration first and then a delayed heartbeat.
TEST(Tracker, heartbeatAfterEarlyDeregistrationIsDeregistered)
{
    auto subject = tracker();
    subject.process(Deregistration{"i-1", 1000});
    EXPECT_EQ(subject.process(makeHeartbeat(7)), Verdict::Deregistered);
    EXPECT_EQ(subject.process(makeHeartbeat(1, 2000)), Verdict::Accepted);
}

TEST(Tracker, newIncarnationRestartsTheSequence)
{
    auto subject = tracker();
    subject.process(makeHeartbeat(40));
    EXPECT_EQ(subject.process(makeHeartbeat(1, 2000)), Verdict::Accepted);
    EXPECT_EQ(subject.process(makeHeartbeat(41)), Verdict::Stale);
    EXPECT_EQ(subject.lastHeartbeat()->startedAt_, 2000);
}

TEST(Tracker, delayedHeartbeatOfReplacedInstanceIsStale)
{
    auto subject = tracker();
    subject.process(makeHeartbeat(7, 2000, "i-2"));
    EXPECT_EQ(subject.process(makeHeartbeat(50, 1000, "i-1")), Verdict::Stale);
}

TEST(Tracker, heartbeatAfterDeregistrationIsRejected)
{
    auto subject = tracker();
    subject.process(makeHeartbeat(1));
    EXPECT_EQ(subject.process(Deregistration{"i-1", 1000}), Verdict::Accepted);
    EXPECT_EQ(subject.process(makeHeartbeat(2)), Verdict::Deregistered);
    EXPECT_TRUE(subject.hasDeregistered());
    EXPECT_EQ(subject.process(makeHeartbeat(1, 3000)), Verdict::Accepted);
    EXPECT_FALSE(subject.hasDeregistered());
}

TEST(Tracker, deregistrationOfEarlierIncarnationIsStale)
{
    auto subject = tracker();
    subject.process(makeHeartbeat(1, 2000));
    EXPECT_EQ(subject.process(Deregistration{"i-1", 1000}), Verdict::Stale);
    EXPECT_EQ(subject.process(Deregistration{"i-9", {}}), Verdict::Foreign);
    EXPECT_FALSE(subject.hasDeregistered());
    EXPECT_EQ(subject.process(Deregistration{"i-1", {}}), Verdict::Accepted);
}

TEST(Tracker, otherServiceOrAddressIsForeign)
{
    auto subject = tracker();
    auto other = makeHeartbeat(1);
    other.service_ = "redeem";
    EXPECT_EQ(subject.process(other), Verdict::Foreign);
    other = makeHeartbeat(1);
    other.address_.port_ = 1;
    EXPECT_EQ(subject.process(other), Verdict::Foreign);
    EXPECT_FALSE(subject.lastHeartbeat().has_value());
}

// Heartbeats from before a deregistration that an earlier process of the daemon acknowledged.
TEST(Tracker, restoredDeregistrationRejectsLateHeartbeats)
{
    auto before = tracker();
    before.process(makeHeartbeat(4));
    before.process(Deregistration{"i-1", 1000});
    ASSERT_TRUE(before.retired().has_value());

    auto subject = tracker();
    EXPECT_FALSE(subject.restore(*before.retired()));
    EXPECT_EQ(subject.process(makeHeartbeat(3)), Verdict::Deregistered);
    EXPECT_EQ(subject.process(makeHeartbeat(5)), Verdict::Deregistered);
    EXPECT_FALSE(subject.lastHeartbeat().has_value());
    EXPECT_EQ(subject.process(makeHeartbeat(1, 2000, "i-2")), Verdict::Accepted);
}

TEST(Tracker, restoredDrainingRejectsOnlyHeartbeatsFromBeforeIt)
{
    auto before = tracker();
    before.process(makeHeartbeat(4));
    auto draining = makeHeartbeat(5);
    draining.isDraining_ = true;
    before.process(draining);

    auto subject = tracker();
    subject.restore(*before.retired());
    EXPECT_EQ(subject.process(makeHeartbeat(4)), Verdict::Deregistered);
    draining.sequence_ = 6;
    EXPECT_EQ(subject.process(draining), Verdict::Accepted);
}

// The late heartbeat arrives before the restarted daemon has heard of the deregistration.
TEST(Tracker, restoringDropsAnOutdatedHeartbeat)
{
    auto subject = tracker();
    subject.process(makeHeartbeat(3));
    EXPECT_TRUE(subject.restore({.instanceHash_ = base::hash64("i-1"),
                                 .startedAt_ = 1000,
                                 .lastSequence_ = model::RetiredBackend::noFurtherSequence}));
    EXPECT_FALSE(subject.lastHeartbeat().has_value());

    auto replaced = tracker();
    replaced.process(makeHeartbeat(1, 2000, "i-2"));
    EXPECT_FALSE(replaced.restore({.instanceHash_ = base::hash64("i-1"), .startedAt_ = 1000}));
    EXPECT_TRUE(replaced.lastHeartbeat().has_value());
}

// The log and the other daemons may both answer, in either order.
TEST(Tracker, restoringKeepsTheLatestAnnouncement)
{
    const model::RetiredBackend earlier{.instanceHash_ = 1, .startedAt_ = 1000, .lastSequence_ = 9};
    const model::RetiredBackend later{.instanceHash_ = 2, .startedAt_ = 2000, .lastSequence_ = 3};
    auto subject = tracker();
    subject.restore(earlier);
    subject.restore(later);
    EXPECT_EQ(subject.retired(), later);
    subject.restore(earlier);
    EXPECT_EQ(subject.retired(), later);
}

// A second restart would otherwise forget a deregistration that came before any heartbeat.
TEST(Tracker, deregistrationBeforeAnyHeartbeatRetires)
{
    auto subject = tracker();
    subject.process(Deregistration{"i-1", 1000});
    ASSERT_TRUE(subject.retired().has_value());
    EXPECT_EQ(subject.retired()->startedAt_, 1000);
}

// Without a start time, a server that starts again under its id could never be used.
TEST(Tracker, incarnationWithoutStartIsNotRetired)
{
    auto subject = tracker();
    auto heartbeat = makeHeartbeat(1);
    heartbeat.startedAt_.reset();
    subject.process(heartbeat);
    subject.process(Deregistration{"i-1", {}});
    EXPECT_FALSE(subject.retired().has_value());
}
