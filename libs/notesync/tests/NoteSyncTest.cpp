#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "FakeWorld.h"

namespace {

using base::Millis;

note::ReleaseNote addService(const std::string &id, const std::string &service,
                             model::Revision base)
{
    const model::Service value{service};
    return {id, base, {{note::Action::Add, note::keyOf(value), value}}};
}

void addDaemons(FakeWorld &world, int dataCentres, int daemonsEach)
{
    for (int d = 0; d < dataCentres; ++d) {
        for (int i = 0; i < daemonsEach; ++i)
            world.addNode("d" + std::to_string(d) + "-" + std::to_string(i),
                          "d" + std::to_string(d));
    }
}

std::size_t countWith(const FakeWorld &world, const std::string &service)
{
    std::size_t count = 0;
    for (const auto &[id, node] : world.nodes_) {
        const auto config = node.sync_->config();
        count += node.isUp_ && config && config->services_.contains(service) ? 1 : 0;
    }
    return count;
}

void restartAll(FakeWorld &world)
{
    for (const auto &[id, node] : world.nodes_)
        world.stop(id);
    for (const auto &[id, node] : world.nodes_)
        world.start(id);
}

RC_GTEST_PROP(NoteSyncProperty, ExactlyOneOfRacingConflictingNotesIsAccepted, (std::uint64_t seed))
{
    FakeWorld world(seed);
    addDaemons(world, 2, 2);
    world.log_.losesAnswers_ = seed % 2 == 0;
    world.runFor(Millis(8000));
    const std::vector<std::string> ids{"first", "second", "third"};
    for (const auto &id : ids) {
        world.publish(addService(id, "wallet", 0));
        world.runFor(Millis(static_cast<std::int64_t>(world.random_.below(60))));
    }
    world.runFor(Millis(30000));
    std::vector<std::string> accepted;
    for (const auto &[id, outcome] : world.decided_) {
        if (outcome.accepted_)
            accepted.push_back(id);
    }
    RC_ASSERT(world.decided_.size() == ids.size());
    RC_ASSERT(accepted.size() == 1U);
    for (const auto &[id, outcome] : world.decided_) {
        if (!outcome.accepted_)
            RC_ASSERT(outcome.reason_.find("\"" + accepted.front() + "\"") != std::string::npos);
    }
    RC_ASSERT(world.violations_.empty());
}

TEST(NoteSync, SnapshotsKeepTheStateOnTheLogThroughManyRetentions)
{
    FakeWorld world(7);
    world.retention_ = Millis(60000);
    addDaemons(world, 2, 3);
    world.runFor(Millis(8000));
    world.publish(addService("n", "wallet", 0));
    for (int i = 0; i < 300; ++i) {
        world.runFor(Millis(1000));
        world.trim(world.retention_);
    }
    EXPECT_GT(world.log_.first_, 0U);
    // One writer: a snapshot each quarter of the retention, and no more than its spare one.
    EXPECT_LE(world.log_.appends_, 300U / 15U + 2U);
    restartAll(world);
    world.runFor(Millis(17000));
    EXPECT_EQ(countWith(world, "wallet"), world.nodes_.size());
}

TEST(NoteSync, MassRestartLoadsTheLogNoMoreThanStated)
{
    FakeWorld world(11);
    constexpr int dataCentres = 5;
    addDaemons(world, dataCentres, 420);
    world.runFor(Millis(8000));
    world.publish(addService("n", "wallet", 0));
    world.runFor(Millis(17000));
    ASSERT_EQ(countWith(world, "wallet"), world.nodes_.size());
    world.log_.reads_ = 0;
    world.log_.appends_ = 0;
    restartAll(world);
    world.runFor(Millis(17000));
    EXPECT_EQ(countWith(world, "wallet"), world.nodes_.size());
    EXPECT_EQ(world.log_.appends_, 0U);
    // Every daemon may read once or twice before it knows the others; then two in each data centre
    // read, at most every half second.
    EXPECT_LE(world.log_.reads_, 2U * world.nodes_.size() + dataCentres * 2U * 2U * 17U);
    RecordProperty("reads", static_cast<int>(world.log_.reads_));
}

TEST(NoteSync, ANoteIsInForceAtAllDaemonsOfTheLargestSize)
{
    FakeWorld world(13);
    addDaemons(world, 5, 420);
    world.runFor(Millis(12000));
    for (const auto &[id, node] : world.nodes_)
        ASSERT_TRUE(node.sync_->hasConfig()) << id;
    world.log_.reads_ = 0;
    const auto start = world.now_;
    base::Millis everywhere;
    world.onStep_ = [&](Step step) {
        if (step == Step::AllInForce && everywhere == Millis(0))
            everywhere = world.now_ - start;
    };
    world.publish(addService("n", "wallet", 0));
    world.runFor(Millis(17000));
    EXPECT_EQ(countWith(world, "wallet"), world.nodes_.size());
    EXPECT_EQ(world.log_.appends_, 1U);
    // Ten readers at most each half second, and the publisher until its outcome is known.
    EXPECT_LE(world.log_.reads_, 10U * 2U * 17U + 10U * 10U);
    RecordProperty("inForceMs", static_cast<int>(everywhere.count()));
    RecordProperty("reads", static_cast<int>(world.log_.reads_));
}

TEST(NoteSync, WithoutLogAndPeersThereIsNoConfigurationUntilTheLogIsBack)
{
    FakeWorld world(3);
    addDaemons(world, 1, 3);
    world.runFor(Millis(8000));
    world.publish(addService("n", "wallet", 0));
    world.runFor(Millis(17000));
    world.log_.isDown_ = true;
    restartAll(world);
    world.runFor(Millis(120000));
    for (const auto &[id, node] : world.nodes_)
        EXPECT_FALSE(node.sync_->hasConfig());
    world.log_.isDown_ = false;
    world.runFor(Millis(17000));
    EXPECT_EQ(countWith(world, "wallet"), 3U);
}

TEST(NoteSync, ATrimmedLogWithoutSnapshotIsNotTakenForAnEmptyOne)
{
    FakeWorld world(4);
    world.append(note::encodeRecord(addService("n", "wallet", 0)));
    world.runFor(Millis(60000));
    world.trim();
    addDaemons(world, 1, 1);
    world.runFor(Millis(60000));
    EXPECT_FALSE(world.nodes_.begin()->second.sync_->hasConfig());
}

TEST(NoteSync, AnswersThatAreTooLargeAreAskedForInSmallerParts)
{
    FakeWorld world(9);
    for (int i = 0; i < 400; ++i)
        world.append(note::encodeRecord(note::Snapshot{note::State{}}));
    world.append(note::encodeRecord(addService("n", "wallet", 0)));
    world.log_.maxPage_ = 3;
    addDaemons(world, 1, 1);
    world.runFor(Millis(600000));
    EXPECT_EQ(countWith(world, "wallet"), 1U);
}

TEST(NoteSync, AnEmptyLogGivesTheEmptyConfiguration)
{
    FakeWorld world(5);
    addDaemons(world, 1, 1);
    world.runFor(Millis(8000));
    EXPECT_TRUE(world.nodes_.begin()->second.sync_->hasConfig());
}

TEST(NoteSync, NotesThatOnlyAnIsolatedDataCentreKnowsSurviveTrimmingAndHeal)
{
    FakeWorld world(6);
    addDaemons(world, 2, 3);
    world.runFor(Millis(8000));
    world.isolated_ = {"d0"};
    world.log_.cutOff_ = {"d1"};
    world.append(note::encodeRecord(addService("known-in-d0", "wallet", 0)));
    world.runFor(Millis(20000));
    EXPECT_EQ(countWith(world, "wallet"), 3U);
    world.log_.isDown_ = true;
    world.runFor(Millis(60000));
    world.trim();
    world.log_.isDown_ = false;
    world.log_.cutOff_ = {"d0"};
    world.append(note::encodeRecord(addService("known-in-d1", "redeem", 0)));
    world.runFor(Millis(60000));
    EXPECT_EQ(countWith(world, "redeem"), 3U);
    world.isolated_.clear();
    world.log_.cutOff_.clear();
    world.runFor(Millis(60000));
    EXPECT_EQ(countWith(world, "wallet"), 6U);
    EXPECT_EQ(countWith(world, "redeem"), 6U);
    std::set<std::string> digests;
    for (const auto &[id, node] : world.nodes_)
        digests.insert(node.sync_->status().digest_);
    EXPECT_EQ(digests.size(), 1U);
    EXPECT_TRUE(world.violations_.empty());
}

TEST(NoteSync, RecordsTrimmedDuringAnOutageDoNotStopLaterNotes)
{
    FakeWorld world(8);
    addDaemons(world, 2, 2);
    world.runFor(Millis(8000));
    world.publish(addService("n", "wallet", 0));
    world.runFor(Millis(17000));
    world.log_.isDown_ = true;
    world.append(note::encodeRecord(addService("lost", "lost", 0)));
    world.runFor(Millis(60000));
    world.trim();
    world.log_.isDown_ = false;
    world.runFor(Millis(60000));
    world.publish(addService("later", "redeem", world.nodes_.begin()->second.applied_));
    world.runFor(Millis(17000));
    EXPECT_EQ(countWith(world, "wallet"), 4U);
    EXPECT_EQ(countWith(world, "redeem"), 4U);
    EXPECT_EQ(countWith(world, "lost"), 0U);
    restartAll(world);
    world.runFor(Millis(17000));
    EXPECT_EQ(countWith(world, "wallet"), 4U);
    EXPECT_EQ(countWith(world, "redeem"), 4U);
}

RC_GTEST_PROP(UpdateProperty, AnyBytesGiveAnUpdateOrAnError, (std::uint64_t seed))
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
