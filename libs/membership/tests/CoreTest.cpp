#include "RecordMonitor.h"
#include "SimulatedCluster.h"

#include <gtest/gtest.h>

using base::Millis;
using membership::Status;

namespace {

/** Time guaranteed to customers within which a leaving instance is known everywhere. */
constexpr Millis drainBound(3000);
constexpr Millis convergenceBound(120000);

bool allHaveServingState(SimulatedCluster &cluster, const std::string &id,
                         model::ServingState state)
{
    for (const auto &[other, daemon] : cluster.daemons_) {
        if (!daemon.core_)
            continue;
        const auto *record = daemon.core_->find(id);
        if (!record || record->member_.serving_ != state)
            return false;
    }
    return true;
}

/** Within this time of its start, a daemon counts as out of touch. */
constexpr Millis restoreBound(3000);

const model::RetiredBackend retired{.instanceHash_ = 7, .startedAt_ = 1000, .lastSequence_ = 42};

bool hasRetired(SimulatedCluster &cluster, const std::string &id)
{
    return cluster.core(id).self().retired_ == retired;
}

bool isListedNowhere(SimulatedCluster &cluster, const std::string &id)
{
    for (const auto &[other, daemon] : cluster.daemons_) {
        if (daemon.core_ && cluster.listedIds(other).contains(id))
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
    SimulatedCluster cluster(1);
    cluster.startAll(3, 8);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
}

TEST(Core, isIsolatedUntilASeedAnswers)
{
    SimulatedCluster cluster(1);
    cluster.start("lonely", "dc0", SimulatedCluster::address(0), {SimulatedCluster::address(1)});
    cluster.run(Millis(2000));
    EXPECT_TRUE(cluster.core("lonely").isIsolated(cluster.now_));
    cluster.start("friend", "dc0", SimulatedCluster::address(1), {});
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    EXPECT_FALSE(cluster.core("lonely").isIsolated(cluster.now_));
}

TEST(Core, drainingAndLeavingPropagateWithinTheBound)
{
    SimulatedCluster cluster(2);
    cluster.loss_ = 0.01;
    cluster.startAll(5, 30);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.sendEvent("d0-7",
                      membership::ServiceChanged{model::ServingState::Draining, "wallet", 90});
    EXPECT_TRUE(cluster.runUntil(
            [&] { return allHaveServingState(cluster, "d0-7", model::ServingState::Draining); },
            drainBound));
    cluster.sendEvent("d0-7", membership::LeaveRequested{});
    cluster.run(Millis(300));
    cluster.crash("d0-7");
    EXPECT_TRUE(cluster.runUntil([&] { return isListedNowhere(cluster, "d0-7"); }, drainBound));
}

// A restarted daemon learns which backend server its earlier process acknowledged as retired.
TEST(Core, restartedDaemonLearnsOfRetiredBackend)
{
    SimulatedCluster cluster(3);
    cluster.loss_ = 0.01;
    cluster.startAll(3, 5);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.sendEvent("d0-3", membership::BackendRetired{retired});
    cluster.run(Millis(200));
    cluster.crash("d0-3");
    cluster.run(Millis(300));
    cluster.restart("d0-3");
    EXPECT_TRUE(cluster.runUntil([&] { return hasRetired(cluster, "d0-3"); }, restoreBound));
}

// It joins through a daemon that started after the announcement; others return what they know.
TEST(Core, retiredBackendIsRestoredAfterJoiningThroughAnUninformedDaemon)
{
    SimulatedCluster cluster(4);
    cluster.startAll(2, 6);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.sendEvent("d0-3", membership::BackendRetired{retired});
    cluster.run(Millis(500));
    cluster.crash("d0-3");
    cluster.start("new", "dc0", SimulatedCluster::address(100), {});
    const auto options = cluster.daemons_.at("d0-3").options_;
    cluster.start("d0-3", "dc0", options.self_.controlAddress_, {SimulatedCluster::address(100)});
    cluster.run(Millis(500));
    cluster.sendEvent("new", membership::SeedsFound{{SimulatedCluster::address(0)}});
    EXPECT_TRUE(cluster.runUntil([&] { return hasRetired(cluster, "d0-3"); }, convergenceBound));
}

// Tombstones keep it, as a daemon may be stopped and started while its backend server runs on.
TEST(Core, retiredBackendSurvivesALeaveOfItsDaemon)
{
    SimulatedCluster cluster(5);
    cluster.startAll(2, 4);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.sendEvent("d0-3", membership::BackendRetired{retired});
    cluster.sendEvent("d0-3", membership::LeaveRequested{});
    cluster.run(Millis(300));
    cluster.crash("d0-3");
    cluster.run(Millis(20000));
    cluster.restart("d0-3");
    EXPECT_TRUE(cluster.runUntil([&] { return hasRetired(cluster, "d0-3"); }, restoreBound));
}

TEST(Core, crashedMemberIsRemovedEverywhere)
{
    SimulatedCluster cluster(3);
    cluster.startAll(3, 8);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.crash("d1-5");
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, Millis(30000)));
}

TEST(Core, partitionedDataCentreStaysListedAndHealsWithoutFalseDeaths)
{
    SimulatedCluster cluster(4);
    cluster.startAll(3, 6);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    RecordMonitor monitor(cluster);
    cluster.isCut_ = [](const auto &a, const auto &b) {
        return isInDataCentre(a, 0) != isInDataCentre(b, 0);
    };
    cluster.run(Millis(600000));
    EXPECT_TRUE(cluster.isConverged());
    using Names = std::vector<std::string>;
    EXPECT_EQ(cluster.core("d1-5").unreachableDataCentres(cluster.now_), Names{"dc0"});
    EXPECT_EQ(cluster.core("d0-5").unreachableDataCentres(cluster.now_), (Names{"dc1", "dc2"}));
    cluster.crash("d0-4");
    cluster.restart("d1-2");
    cluster.run(Millis(60000));
    cluster.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    EXPECT_TRUE(cluster.runUntil(
            [&] {
                return cluster.isConverged()
                       && cluster.core("d1-5").unreachableDataCentres(cluster.now_).empty();
            },
            Millis(30000)));
    EXPECT_TRUE(monitor.falselyDead_.empty());
    EXPECT_FALSE(monitor.hasVersionDecreased_);
}

TEST(Core, pausedDaemonSendsNoStaleRecords)
{
    SimulatedCluster cluster(5);
    cluster.startAll(2, 6);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    RecordMonitor monitor(cluster);
    cluster.pause("d0-2");
    cluster.crash("d0-3");
    cluster.run(Millis(60000));
    EXPECT_EQ(cluster.core("d0-1").find("d0-2")->status_, Status::Dead);
    int staleRecords = 0;
    cluster.onSend_ = [&](const std::string &from, const membership::Datagram &datagram) {
        for (const auto &record : datagram.records_)
            staleRecords += from == "d0-2" && record.member_.id_ == "d0-3" && record.isLive();
    };
    cluster.resume("d0-2");
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    EXPECT_EQ(staleRecords, 0);
    EXPECT_FALSE(monitor.hasVersionDecreased_);
}

TEST(Core, pauseBeyondTombstoneRetentionResurrectsNoMember)
{
    SimulatedCluster cluster(6);
    membership::Timing timing;
    timing.tombstoneRetention_ = Millis(100000);
    cluster.startAll(2, 6, timing);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.pause("d0-2");
    cluster.crash("d0-3");
    cluster.run(Millis(300000));
    EXPECT_EQ(cluster.core("d0-1").find("d0-3"), nullptr);
    bool isResurrected = false;
    cluster.onStep_ = [&] {
        for (const auto &[id, daemon] : cluster.daemons_)
            isResurrected =
                    isResurrected
                    || (daemon.core_ && id != "d0-2" && cluster.listedIds(id).contains("d0-3"));
    };
    cluster.resume("d0-2");
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    EXPECT_FALSE(isResurrected);
}

TEST(Core, reusedAddressBelongsToTheNewestDaemon)
{
    SimulatedCluster cluster(7);
    cluster.startAll(2, 5);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    const auto options = cluster.daemons_.at("d0-3").options_;
    cluster.crash("d0-3");
    cluster.start("successor", "dc0", options.self_.controlAddress_, options.seeds_);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, drainBound));
}

TEST(Core, restartWithEarlierClockRaisesTheGeneration)
{
    SimulatedCluster cluster(8);
    cluster.startAll(2, 5);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    const auto before = cluster.core("d0-3").self().generation_;
    cluster.generation_ = 5;
    cluster.restart("d0-3");
    const auto isRestartKnown = [&] {
        const auto newGeneration = cluster.core("d0-3").self().generation_;
        return newGeneration > before && cluster.isConverged()
               && cluster.core("d1-1").find("d0-3")->member_.generation_ == newGeneration;
    };
    EXPECT_TRUE(cluster.runUntil(isRestartKnown, convergenceBound));
}

// A daemon that queries an earlier process for the requests it ran addresses it by its generation.
// If both restarts took the same one, the second process would answer for the first.
TEST(Core, restartsWithEarlierClockTakeDistinctGenerations)
{
    SimulatedCluster cluster(15);
    cluster.startAll(1, 3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    const auto old = *cluster.core("d0-1").find("d0-2");
    const auto generationAfterRestart = [&](std::uint64_t clock) {
        cluster.generation_ = clock;
        cluster.restart("d0-2");
        membership::Datagram datagram{"d0-1", 0, "dc0"};
        datagram.records_ = {old};
        cluster.sendEvent("d0-2",
                          membership::DatagramReceived{SimulatedCluster::address(1), datagram});
        return cluster.core("d0-2").self().generation_;
    };
    const auto first = generationAfterRestart(5);
    const auto second = generationAfterRestart(500);
    EXPECT_GT(first, old.member_.generation_);
    EXPECT_GT(second, old.member_.generation_);
    EXPECT_NE(first, second);
}

TEST(Core, dataCentreReplacedByNewMembersConverges)
{
    SimulatedCluster cluster(9);
    cluster.startAll(2, 5);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    const auto seeds = cluster.daemons_.at("d1-0").options_.seeds_;
    for (unsigned i = 0; i < 5; ++i)
        cluster.crash(SimulatedCluster::name(1, i));
    cluster.run(Millis(60000));
    for (unsigned i = 0; i < 5; ++i)
        cluster.start("replacement-" + std::to_string(i), "dc1", SimulatedCluster::address(100 + i),
                      seeds);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
}

TEST(Core, revisionPropagatesToAllAndIsCounted)
{
    SimulatedCluster cluster(10);
    cluster.loss_ = 0.01;
    cluster.startAll(3, 20);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    const auto adoptHighestRevision = [&] {
        for (auto &[id, daemon] : cluster.daemons_)
            cluster.sendEvent(id, membership::RevisionInForce{daemon.core_->highestRevision()});
    };
    cluster.onStep_ = adoptHighestRevision;
    cluster.sendEvent("d1-13", membership::RevisionInForce{9});
    EXPECT_TRUE(cluster.runUntil(
            [&] {
                return std::all_of(
                        cluster.daemons_.begin(), cluster.daemons_.end(),
                        [](auto &item) { return item.second.core_->self().revision_ == 9; });
            },
            Millis(5000)));
    const auto isCounted = [&] {
        const auto revisions = cluster.core("d2-7").revisions();
        return revisions.size() == 3
               && std::all_of(revisions.begin(), revisions.end(), [](const auto &summary) {
                      return summary.counts_ == decltype(summary.counts_){{9, 20}};
                  });
    };
    EXPECT_TRUE(cluster.runUntil(isCounted, Millis(30000)));
}

TEST(Core, partitionInsideADataCentreHeals)
{
    SimulatedCluster cluster(11);
    cluster.startAll(1, 12);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    const auto isLowHalf = [](const std::string &id) {
        return id < "d0-3";
    };
    cluster.isCut_ = [=](const auto &a, const auto &b) {
        return isLowHalf(a) != isLowHalf(b);
    };
    cluster.run(Millis(60000));
    EXPECT_FALSE(cluster.listedIds("d0-0").contains("d0-9"));
    cluster.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, Millis(30000)));
}

TEST(Core, refutationReceivedOnlyByAnotherDataCentreExpiresAfterACrash)
{
    SimulatedCluster cluster(12);
    cluster.startAll(2, 4);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    auto record = *cluster.core("d0-1").find("d0-2");
    cluster.crash("d0-2");
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    // The record that d1 would have if the refutation had reached only that data centre.
    record.incarnation_ = cluster.core("d1-0").find("d0-2")->incarnation_ + 1;
    for (unsigned i = 0; i < 4; ++i) {
        membership::Datagram datagram{"d0-2", record.member_.generation_, "dc0"};
        datagram.records_ = {record};
        cluster.sendEvent(SimulatedCluster::name(1, i),
                          membership::DatagramReceived{SimulatedCluster::address(2), datagram});
    }
    EXPECT_TRUE(cluster.listedIds("d1-0").contains("d0-2"));
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
}

TEST(Core, refutationReceivedOnlyByAnotherDataCentrePropagatesBack)
{
    SimulatedCluster cluster(14);
    cluster.startAll(2, 4);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    auto record = *cluster.core("d0-1").find("d0-2");
    ++record.incarnation_;
    membership::Datagram datagram{"d0-2", record.member_.generation_, "dc0"};
    datagram.records_ = {record};
    cluster.sendEvent("d1-3", membership::DatagramReceived{SimulatedCluster::address(2), datagram});
    EXPECT_TRUE(cluster.runUntil(
            [&] { return cluster.core("d0-1").find("d0-2")->incarnation_ >= record.incarnation_; },
            convergenceBound));
}

TEST(Core, joinThroughAnotherDataCentreSuspectsNoMember)
{
    SimulatedCluster cluster(13);
    cluster.startAll(2, 8);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.start("late", "dc0", SimulatedCluster::address(99), {SimulatedCluster::address(8)});
    bool isSuspected = false;
    cluster.onStep_ = [&] {
        for (const auto &record : cluster.core("late").state(cluster.now_))
            isSuspected = isSuspected || record.status_ != Status::Alive;
    };
    std::size_t forwardedRecords = 0;
    cluster.onSend_ = [&](const std::string &from, const membership::Datagram &datagram) {
        for (const auto &record : datagram.records_)
            forwardedRecords += from == "late" && record.member_.id_ != "late";
    };
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    cluster.run(Millis(10000));
    EXPECT_FALSE(isSuspected);
    EXPECT_EQ(forwardedRecords, 0U);
}
