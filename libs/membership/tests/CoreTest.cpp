#include "Pump.h"
#include "RecordMonitor.h"

#include <gtest/gtest.h>

using base::Millis;
using membership::Status;

namespace {

/** Time guaranteed to customers within which a leaving instance is known everywhere. */
constexpr Millis drainBound(3000);
constexpr Millis convergenceBound(120000);

bool allHaveServingState(Pump &pump, const std::string &id, model::ServingState state)
{
    for (const auto &[other, daemon] : pump.daemons_) {
        if (!daemon.core_)
            continue;
        const auto *record = daemon.core_->find(id);
        if (!record || record->member_.serving_ != state)
            return false;
    }
    return true;
}

bool isListedNowhere(Pump &pump, const std::string &id)
{
    for (const auto &[other, daemon] : pump.daemons_) {
        if (daemon.core_ && pump.listedIds(other).contains(id))
            return false;
    }
    return true;
}

bool isInDataCentre(const std::string &id, unsigned n)
{
    return id.starts_with("d" + std::to_string(n) + "-");
}

} // namespace

TEST(Core, convergesFromSeeds)
{
    Pump pump(1);
    pump.startAll(3, 8);
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
}

TEST(Core, isIsolatedUntilASeedAnswers)
{
    Pump pump(1);
    pump.start("lonely", "dc0", Pump::address(0), {Pump::address(1)});
    pump.run(Millis(2000));
    EXPECT_TRUE(pump.core("lonely").isIsolated(pump.now_));
    pump.start("friend", "dc0", Pump::address(1), {});
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    EXPECT_FALSE(pump.core("lonely").isIsolated(pump.now_));
}

TEST(Core, drainingAndLeavingPropagateWithinTheBound)
{
    Pump pump(2);
    pump.loss_ = 0.01;
    pump.startAll(5, 30);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    pump.tell("d0-7", membership::ServiceChanged{model::ServingState::Draining, "wallet", 90});
    EXPECT_TRUE(pump.runUntil(
            [&] { return allHaveServingState(pump, "d0-7", model::ServingState::Draining); },
            drainBound));
    pump.tell("d0-7", membership::LeaveRequested{});
    pump.run(Millis(300));
    pump.crash("d0-7");
    EXPECT_TRUE(pump.runUntil([&] { return isListedNowhere(pump, "d0-7"); }, drainBound));
}

TEST(Core, crashedMemberIsRemovedEverywhere)
{
    Pump pump(3);
    pump.startAll(3, 8);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    pump.crash("d1-5");
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, Millis(30000)));
}

TEST(Core, partitionedDataCentreStaysListedAndHealsWithoutFalseDeaths)
{
    Pump pump(4);
    pump.startAll(3, 6);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    RecordMonitor monitor(pump);
    pump.isCut_ = [](const auto &a, const auto &b) {
        return isInDataCentre(a, 0) != isInDataCentre(b, 0);
    };
    pump.run(Millis(600000));
    EXPECT_TRUE(pump.isConverged());
    using Names = std::vector<std::string>;
    EXPECT_EQ(pump.core("d1-5").unreachableDataCentres(pump.now_), Names{"dc0"});
    EXPECT_EQ(pump.core("d0-5").unreachableDataCentres(pump.now_), (Names{"dc1", "dc2"}));
    pump.crash("d0-4");
    pump.restart("d1-2");
    pump.run(Millis(60000));
    pump.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    EXPECT_TRUE(pump.runUntil(
            [&] {
                return pump.isConverged()
                       && pump.core("d1-5").unreachableDataCentres(pump.now_).empty();
            },
            Millis(30000)));
    EXPECT_TRUE(monitor.falselyDead_.empty());
    EXPECT_FALSE(monitor.hasVersionDecreased_);
}

TEST(Core, pausedDaemonSendsNoStaleRecords)
{
    Pump pump(5);
    pump.startAll(2, 6);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    RecordMonitor monitor(pump);
    pump.pause("d0-2");
    pump.crash("d0-3");
    pump.run(Millis(60000));
    EXPECT_EQ(pump.core("d0-1").find("d0-2")->status_, Status::Dead);
    int staleRecords = 0;
    pump.onSend_ = [&](const std::string &from, const membership::Datagram &datagram) {
        for (const auto &record : datagram.records_)
            staleRecords += from == "d0-2" && record.member_.id_ == "d0-3" && record.isLive();
    };
    pump.resume("d0-2");
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    EXPECT_EQ(staleRecords, 0);
    EXPECT_FALSE(monitor.hasVersionDecreased_);
}

TEST(Core, pauseBeyondTombstoneRetentionResurrectsNoMember)
{
    Pump pump(6);
    membership::Timing timing;
    timing.tombstoneRetention_ = Millis(100000);
    pump.startAll(2, 6, timing);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    pump.pause("d0-2");
    pump.crash("d0-3");
    pump.run(Millis(300000));
    EXPECT_EQ(pump.core("d0-1").find("d0-3"), nullptr);
    bool isResurrected = false;
    pump.onStep_ = [&] {
        for (const auto &[id, daemon] : pump.daemons_)
            isResurrected =
                    isResurrected
                    || (daemon.core_ && id != "d0-2" && pump.listedIds(id).contains("d0-3"));
    };
    pump.resume("d0-2");
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    EXPECT_FALSE(isResurrected);
}

TEST(Core, reusedAddressBelongsToTheNewestDaemon)
{
    Pump pump(7);
    pump.startAll(2, 5);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    const auto options = pump.daemons_.at("d0-3").options_;
    pump.crash("d0-3");
    pump.start("successor", "dc0", options.self_.controlAddress_, options.seeds_);
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, drainBound));
}

TEST(Core, restartWithEarlierClockRaisesTheGeneration)
{
    Pump pump(8);
    pump.startAll(2, 5);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    const auto before = pump.core("d0-3").self().generation_;
    pump.generation_ = 5;
    pump.restart("d0-3");
    const auto isRestartKnown = [&] {
        const auto newGeneration = pump.core("d0-3").self().generation_;
        return newGeneration > before && pump.isConverged()
               && pump.core("d1-1").find("d0-3")->member_.generation_ == newGeneration;
    };
    EXPECT_TRUE(pump.runUntil(isRestartKnown, convergenceBound));
}

// A daemon that queries an earlier process for the requests it ran addresses it by its generation.
// If both restarts took the same one, the second process would answer for the first.
TEST(Core, restartsWithEarlierClockTakeDistinctGenerations)
{
    Pump pump(15);
    pump.startAll(1, 3);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    const auto old = *pump.core("d0-1").find("d0-2");
    const auto generationAfterRestart = [&](std::uint64_t clock) {
        pump.generation_ = clock;
        pump.restart("d0-2");
        membership::Datagram datagram{"d0-1", 0, "dc0"};
        datagram.records_ = {old};
        pump.tell("d0-2", membership::DatagramReceived{Pump::address(1), datagram});
        return pump.core("d0-2").self().generation_;
    };
    const auto first = generationAfterRestart(5);
    const auto second = generationAfterRestart(500);
    EXPECT_GT(first, old.member_.generation_);
    EXPECT_GT(second, old.member_.generation_);
    EXPECT_NE(first, second);
}

TEST(Core, dataCentreReplacedByNewMembersConverges)
{
    Pump pump(9);
    pump.startAll(2, 5);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    const auto seeds = pump.daemons_.at("d1-0").options_.seeds_;
    for (unsigned i = 0; i < 5; ++i)
        pump.crash(Pump::name(1, i));
    pump.run(Millis(60000));
    for (unsigned i = 0; i < 5; ++i)
        pump.start("replacement-" + std::to_string(i), "dc1", Pump::address(100 + i), seeds);
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
}

TEST(Core, revisionPropagatesToAllAndIsCounted)
{
    Pump pump(10);
    pump.loss_ = 0.01;
    pump.startAll(3, 20);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    const auto adoptHighestRevision = [&] {
        for (auto &[id, daemon] : pump.daemons_)
            pump.tell(id, membership::RevisionInForce{daemon.core_->highestRevision()});
    };
    pump.onStep_ = adoptHighestRevision;
    pump.tell("d1-13", membership::RevisionInForce{9});
    EXPECT_TRUE(pump.runUntil(
            [&] {
                return std::all_of(pump.daemons_.begin(), pump.daemons_.end(), [](auto &item) {
                    return item.second.core_->self().revision_ == 9;
                });
            },
            Millis(5000)));
    const auto isCounted = [&] {
        const auto revisions = pump.core("d2-7").revisions();
        return revisions.size() == 3
               && std::all_of(revisions.begin(), revisions.end(), [](const auto &summary) {
                      return summary.counts_ == decltype(summary.counts_){{9, 20}};
                  });
    };
    EXPECT_TRUE(pump.runUntil(isCounted, Millis(30000)));
}

TEST(Core, partitionInsideADataCentreHeals)
{
    Pump pump(11);
    pump.startAll(1, 12);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    const auto isLowHalf = [](const std::string &id) {
        return id < "d0-3";
    };
    pump.isCut_ = [=](const auto &a, const auto &b) {
        return isLowHalf(a) != isLowHalf(b);
    };
    pump.run(Millis(60000));
    EXPECT_FALSE(pump.listedIds("d0-0").contains("d0-9"));
    pump.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, Millis(30000)));
}

TEST(Core, refutationReceivedOnlyByAnotherDataCentreExpiresAfterACrash)
{
    Pump pump(12);
    pump.startAll(2, 4);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    auto record = *pump.core("d0-1").find("d0-2");
    pump.crash("d0-2");
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    // The record that d1 would have if the refutation had reached only that data centre.
    record.incarnation_ = pump.core("d1-0").find("d0-2")->incarnation_ + 1;
    for (unsigned i = 0; i < 4; ++i) {
        membership::Datagram datagram{"d0-2", record.member_.generation_, "dc0"};
        datagram.records_ = {record};
        pump.tell(Pump::name(1, i), membership::DatagramReceived{Pump::address(2), datagram});
    }
    EXPECT_TRUE(pump.listedIds("d1-0").contains("d0-2"));
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
}

TEST(Core, refutationReceivedOnlyByAnotherDataCentrePropagatesBack)
{
    Pump pump(14);
    pump.startAll(2, 4);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    auto record = *pump.core("d0-1").find("d0-2");
    ++record.incarnation_;
    membership::Datagram datagram{"d0-2", record.member_.generation_, "dc0"};
    datagram.records_ = {record};
    pump.tell("d1-3", membership::DatagramReceived{Pump::address(2), datagram});
    EXPECT_TRUE(pump.runUntil(
            [&] { return pump.core("d0-1").find("d0-2")->incarnation_ >= record.incarnation_; },
            convergenceBound));
}

TEST(Core, joinThroughAnotherDataCentreSuspectsNoMember)
{
    Pump pump(13);
    pump.startAll(2, 8);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    pump.start("late", "dc0", Pump::address(99), {Pump::address(8)});
    bool isSuspected = false;
    pump.onStep_ = [&] {
        for (const auto &record : pump.core("late").state(pump.now_))
            isSuspected = isSuspected || record.status_ != Status::Alive;
    };
    std::size_t forwardedRecords = 0;
    pump.onSend_ = [&](const std::string &from, const membership::Datagram &datagram) {
        for (const auto &record : datagram.records_)
            forwardedRecords += from == "late" && record.member_.id_ != "late";
    };
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    pump.run(Millis(10000));
    EXPECT_FALSE(isSuspected);
    EXPECT_EQ(forwardedRecords, 0U);
}
