#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "SimulatedCluster.h"

namespace {

using base::Millis;

note::ReleaseNote addService(const std::string &id, const std::string &service,
                             model::Revision base)
{
    const model::Service value{service};
    return {id, base, {{note::Action::Add, note::keyOf(value), value}}};
}

void addDaemons(SimulatedCluster &cluster, int dataCentres, int daemonsEach)
{
    for (int d = 0; d < dataCentres; ++d) {
        for (int i = 0; i < daemonsEach; ++i)
            cluster.addNode("d" + std::to_string(d) + "-" + std::to_string(i),
                            "d" + std::to_string(d));
    }
}

std::size_t daemonsWithService(const SimulatedCluster &cluster, const std::string &service)
{
    std::size_t count = 0;
    for (const auto &[id, node] : cluster.nodes_) {
        const auto config = node.sync_->config();
        count += node.isUp_ && config && config->services_.contains(service) ? 1 : 0;
    }
    return count;
}

void restartAll(SimulatedCluster &cluster)
{
    for (const auto &[id, node] : cluster.nodes_)
        cluster.stop(id);
    for (const auto &[id, node] : cluster.nodes_)
        cluster.start(id);
}

RC_GTEST_PROP(NoteSyncProperty, acceptsExactlyOneOfConcurrentConflictingNotes, (std::uint64_t seed))
{
    SimulatedCluster cluster(seed);
    addDaemons(cluster, 2, 2);
    cluster.log_.losesResponses_ = seed % 2 == 0;
    cluster.runFor(Millis(8000));
    const std::vector<std::string> ids{"first", "second", "third"};
    for (const auto &id : ids) {
        cluster.publish(addService(id, "wallet", 0));
        cluster.runFor(Millis(static_cast<std::int64_t>(cluster.random_.below(60))));
    }
    cluster.runFor(Millis(30000));
    std::vector<std::string> accepted;
    for (const auto &[id, outcome] : cluster.outcomes_) {
        if (outcome.accepted_)
            accepted.push_back(id);
    }
    RC_ASSERT(cluster.outcomes_.size() == ids.size());
    RC_ASSERT(accepted.size() == 1U);
    for (const auto &[id, outcome] : cluster.outcomes_) {
        if (!outcome.accepted_)
            RC_ASSERT(outcome.reason_.find("\"" + accepted.front() + "\"") != std::string::npos);
    }
    RC_ASSERT(cluster.violations_.empty());
}

TEST(NoteSync, snapshotsOutlastTheLogRetention)
{
    SimulatedCluster cluster(7);
    cluster.retention_ = Millis(60000);
    addDaemons(cluster, 2, 3);
    cluster.runFor(Millis(8000));
    cluster.publish(addService("n", "wallet", 0));
    for (int i = 0; i < 300; ++i) {
        cluster.runFor(Millis(1000));
        cluster.trim(cluster.retention_);
    }
    EXPECT_GT(cluster.log_.first_, 0U);
    // The published note, a snapshot by one writer every quarter of the retention, and one spare.
    EXPECT_LE(cluster.log_.appends_, 300U / 15U + 2U);
    restartAll(cluster);
    cluster.runFor(Millis(17000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), cluster.nodes_.size());
}

TEST(NoteSync, simultaneousRestartKeepsLogReadsWithinTheLimit)
{
    SimulatedCluster cluster(11);
    constexpr int dataCentres = 5;
    addDaemons(cluster, dataCentres, 420);
    cluster.runFor(Millis(8000));
    cluster.publish(addService("n", "wallet", 0));
    cluster.runFor(Millis(17000));
    ASSERT_EQ(daemonsWithService(cluster, "wallet"), cluster.nodes_.size());
    cluster.log_.reads_ = 0;
    cluster.log_.appends_ = 0;
    restartAll(cluster);
    cluster.runFor(Millis(17000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), cluster.nodes_.size());
    EXPECT_EQ(cluster.log_.appends_, 0U);
    // Each daemon may read up to twice before it receives a member list; after that, two daemons
    // in each data centre read at most every 500 ms.
    EXPECT_LE(cluster.log_.reads_, 2U * cluster.nodes_.size() + dataCentres * 2U * 2U * 17U);
    RecordProperty("reads", static_cast<int>(cluster.log_.reads_));
}

TEST(NoteSync, noteReachesAllDaemonsOfTheLargestCluster)
{
    SimulatedCluster cluster(13);
    addDaemons(cluster, 5, 420);
    cluster.runFor(Millis(12000));
    for (const auto &[id, node] : cluster.nodes_)
        ASSERT_TRUE(node.sync_->hasConfig()) << id;
    cluster.log_.reads_ = 0;
    const auto start = cluster.now_;
    base::Millis timeToAll;
    cluster.onStage_ = [&](PublishStage stage) {
        if (stage == PublishStage::AllInForce && timeToAll == Millis(0))
            timeToAll = cluster.now_ - start;
    };
    cluster.publish(addService("n", "wallet", 0));
    cluster.runFor(Millis(17000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), cluster.nodes_.size());
    EXPECT_EQ(cluster.log_.appends_, 1U);
    // Ten readers read at most every 500 ms, and the publisher reads until the outcome is known.
    EXPECT_LE(cluster.log_.reads_, 10U * 2U * 17U + 10U * 10U);
    RecordProperty("inForceMs", static_cast<int>(timeToAll.count()));
    RecordProperty("reads", static_cast<int>(cluster.log_.reads_));
}

TEST(NoteSync, hasNoConfigUntilTheLogIsReachable)
{
    SimulatedCluster cluster(3);
    addDaemons(cluster, 1, 3);
    cluster.runFor(Millis(8000));
    cluster.publish(addService("n", "wallet", 0));
    cluster.runFor(Millis(17000));
    cluster.log_.isDown_ = true;
    restartAll(cluster);
    cluster.runFor(Millis(120000));
    for (const auto &[id, node] : cluster.nodes_)
        EXPECT_FALSE(node.sync_->hasConfig());
    cluster.log_.isDown_ = false;
    cluster.runFor(Millis(17000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), 3U);
}

TEST(NoteSync, trimmedLogWithoutSnapshotGivesNoConfig)
{
    SimulatedCluster cluster(4);
    cluster.append(note::encodeRecord(addService("n", "wallet", 0)));
    cluster.runFor(Millis(60000));
    cluster.trim();
    addDaemons(cluster, 1, 1);
    cluster.runFor(Millis(60000));
    EXPECT_FALSE(cluster.nodes_.begin()->second.sync_->hasConfig());
}

TEST(NoteSync, oversizedReadsAreRetriedWithFewerRecords)
{
    SimulatedCluster cluster(9);
    for (int i = 0; i < 400; ++i)
        cluster.append(note::encodeRecord(note::Snapshot{note::State{}}));
    cluster.append(note::encodeRecord(addService("n", "wallet", 0)));
    cluster.log_.maxRecordsPerPage_ = 3;
    addDaemons(cluster, 1, 1);
    cluster.runFor(Millis(600000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), 1U);
}

TEST(NoteSync, emptyLogGivesTheEmptyConfig)
{
    SimulatedCluster cluster(5);
    addDaemons(cluster, 1, 1);
    cluster.runFor(Millis(8000));
    EXPECT_TRUE(cluster.nodes_.begin()->second.sync_->hasConfig());
}

TEST(NoteSync, notesOfPartitionedDataCentresSurviveTrimmingAndMerge)
{
    SimulatedCluster cluster(6);
    addDaemons(cluster, 2, 3);
    cluster.runFor(Millis(8000));
    cluster.isolatedDataCentres_ = {"d0"};
    cluster.log_.unreachableFrom_ = {"d1"};
    cluster.append(note::encodeRecord(addService("known-in-d0", "wallet", 0)));
    cluster.runFor(Millis(20000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), 3U);
    cluster.log_.isDown_ = true;
    cluster.runFor(Millis(60000));
    cluster.trim();
    cluster.log_.isDown_ = false;
    cluster.log_.unreachableFrom_ = {"d0"};
    cluster.append(note::encodeRecord(addService("known-in-d1", "redeem", 0)));
    cluster.runFor(Millis(60000));
    EXPECT_EQ(daemonsWithService(cluster, "redeem"), 3U);
    cluster.isolatedDataCentres_.clear();
    cluster.log_.unreachableFrom_.clear();
    cluster.runFor(Millis(60000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), 6U);
    EXPECT_EQ(daemonsWithService(cluster, "redeem"), 6U);
    std::set<std::string> digests;
    for (const auto &[id, node] : cluster.nodes_)
        digests.insert(node.sync_->status().digest_);
    EXPECT_EQ(digests.size(), 1U);
    EXPECT_TRUE(cluster.violations_.empty());
}

TEST(NoteSync, recordsTrimmedDuringALogOutageDoNotBlockLaterNotes)
{
    SimulatedCluster cluster(8);
    addDaemons(cluster, 2, 2);
    cluster.runFor(Millis(8000));
    cluster.publish(addService("n", "wallet", 0));
    cluster.runFor(Millis(17000));
    cluster.log_.isDown_ = true;
    cluster.append(note::encodeRecord(addService("lost", "lost", 0)));
    cluster.runFor(Millis(60000));
    cluster.trim();
    cluster.log_.isDown_ = false;
    cluster.runFor(Millis(60000));
    cluster.publish(addService("later", "redeem", cluster.nodes_.begin()->second.appliedRevision_));
    cluster.runFor(Millis(17000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), 4U);
    EXPECT_EQ(daemonsWithService(cluster, "redeem"), 4U);
    EXPECT_EQ(daemonsWithService(cluster, "lost"), 0U);
    restartAll(cluster);
    cluster.runFor(Millis(17000));
    EXPECT_EQ(daemonsWithService(cluster, "wallet"), 4U);
    EXPECT_EQ(daemonsWithService(cluster, "redeem"), 4U);
}

RC_GTEST_PROP(UpdateProperty, decodesOrRejectsDamagedUpdates, (std::uint64_t seed))
{
    base::Random random(seed);
    const auto state = note::applyNote({}, 0, addService("n", "wallet", 0));
    const std::vector<notesync::Update> updates{
            notesync::UpToDate{}, notesync::FullState{state},
            notesync::Delta{3, 9, "d", {{4, "a"}, {7, "\xff"}}}};
    for (const auto &update : updates) {
        auto text = notesync::encodeUpdate(update);
        RC_ASSERT(notesync::decodeUpdate(text).has_value());
        text[random.below(text.size())] = static_cast<char>(random.below(256));
        if (const auto decoded = notesync::decodeUpdate(text);
            decoded && std::holds_alternative<notesync::FullState>(*decoded))
            RC_ASSERT(note::digestOf(std::get<notesync::FullState>(*decoded).state_)
                      == note::digestOf(state));
        RC_ASSERT(!notesync::decodeUpdate(text.substr(0, random.below(text.size()))));
        (void)notesync::decodeAnnouncement(text);
    }
    const notesync::Announcement announcement{"a", 1, 2, "d"};
    RC_ASSERT(notesync::decodeAnnouncement(notesync::encodeAnnouncement(announcement)).value()
              == announcement);
}

} // namespace
