#include <gtest/gtest.h>

#include "FakeWorld.h"

namespace {

using base::Millis;

struct Fault
{
    const char *name_;
    std::function<void(FakeWorld &)> start_;
    std::function<void(FakeWorld &)> heal_;
};

void restartInTurn(FakeWorld &world)
{
    Millis delay(0);
    for (const auto &[id, node] : world.nodes_) {
        world.at(delay, [&world, id = id] { world.stop(id); });
        world.at(delay + Millis(500), [&world, id = id] { world.start(id); });
        delay = delay + Millis(3000);
    }
}

void stopDataCentre(FakeWorld &world, const std::string &dataCentre)
{
    for (const auto &[id, node] : world.nodes_) {
        if (node.dataCentre_ == dataCentre)
            world.stop(id);
    }
}

void startDataCentre(FakeWorld &world, const std::string &dataCentre)
{
    for (const auto &[id, node] : world.nodes_) {
        if (node.dataCentre_ == dataCentre)
            world.start(id);
    }
}

void nothing(FakeWorld &) {}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all{
            {"none", nothing, nothing},
            {"log down", [](FakeWorld &w) { w.log_.isDown_ = true; },
             [](FakeWorld &w) {
                 w.log_.isDown_ = false;
             }},
            {"log slow", [](FakeWorld &w) { w.log_.delay_ = Millis(3000); },
             [](FakeWorld &w) {
                 w.log_.delay_ = Millis(20);
             }},
            {"answers lost", [](FakeWorld &w) { w.log_.losesAnswers_ = true; },
             [](FakeWorld &w) {
                 w.log_.losesAnswers_ = false;
             }},
            {"trimmed past our records", [](FakeWorld &w) { w.trim(); },
             [](FakeWorld &w) {
                 w.trim();
             }},
            {"rubbish on the log",
             [](FakeWorld &w) {
                 w.append("{\"v\":1,\"type\":\"note\"}");
                 w.append("\xff\x00rubbish");
             },
             nothing},
            {"data centre cut off from the log", [](FakeWorld &w) { w.log_.cutOff_ = {"a"}; },
             [](FakeWorld &w) {
                 w.log_.cutOff_.clear();
             }},
            {"data centre cut off from the others", [](FakeWorld &w) { w.isolated_ = {"a"}; },
             [](FakeWorld &w) {
                 w.isolated_.clear();
             }},
            {"data centre cut off from all",
             [](FakeWorld &w) {
                 w.isolated_ = {"b"};
                 w.log_.cutOff_ = {"b"};
             },
             [](FakeWorld &w) {
                 w.isolated_.clear();
                 w.log_.cutOff_.clear();
             }},
            {"every daemon restarts in turn", restartInTurn, nothing},
            {"a data centre restarts at once", [](FakeWorld &w) { stopDataCentre(w, "a"); },
             [](FakeWorld &w) {
                 startDataCentre(w, "a");
             }},
            {"a daemon pauses and comes back with its old view",
             [](FakeWorld &w) { w.pause("a1"); },
             [](FakeWorld &w) {
                 w.resume("a1");
             }},
            {"an old snapshot is appended late",
             [](FakeWorld &w) { w.append(note::encodeRecord(note::Snapshot{note::State{}})); },
             nothing},
    };
    return all;
}

note::ReleaseNote addService(const std::string &id, const std::string &service,
                             model::Revision base)
{
    const model::Service value{service};
    return {id, base, {{note::Action::Add, note::keyOf(value), value}}};
}

void addDataCentres(FakeWorld &world, int daemonsEach)
{
    for (const char dataCentre : {'a', 'b', 'c'}) {
        for (int i = 0; i < daemonsEach; ++i)
            world.addNode(dataCentre + std::to_string(i), std::string(1, dataCentre));
    }
}

/** Every daemon has the same content, and all services of accepted notes. */
std::string differences(const FakeWorld &world)
{
    std::string result;
    std::set<std::string> digests;
    for (const auto &[id, node] : world.nodes_) {
        digests.insert(node.sync_->status().digest_);
        for (const auto &[noteId, outcome] : world.decided_) {
            if (outcome.accepted_ && node.applied_ < outcome.revision_)
                result += id + " is behind note " + noteId + "\n";
            if (outcome.accepted_ && node.sync_->config()
                && !node.sync_->config()->services_.contains(noteId))
                result += id + " lacks note " + noteId + "\n";
        }
    }
    if (digests.size() != 1)
        result += std::to_string(digests.size()) + " different states\n";
    for (const auto &violation : world.violations_)
        result += violation + "\n";
    return result;
}

constexpr Millis inForceBound(17000);

/** Strikes with the faults at the step, heals them, and checks what must hold. */
std::string runCase(Step step, const Fault &first, const Fault &second, std::uint64_t seed)
{
    FakeWorld world(seed);
    addDataCentres(world, 3);
    world.runFor(Millis(8000));
    world.publish(addService("before", "before", 0));
    world.runFor(inForceBound);
    if (auto result = differences(world); !result.empty() || world.decided_.size() != 1)
        return "before the fault: " + result;

    bool struck = false;
    const auto strike = [&] {
        struck = true;
        first.start_(world);
        second.start_(world);
        world.at(Millis(40000), [&] {
            first.heal_(world);
            second.heal_(world);
        });
    };
    world.watched_ = 0;
    world.onStep_ = [&](Step reached) {
        if (!struck && reached == step)
            strike();
    };
    const auto base = world.nodes_.begin()->second.applied_;
    world.reached(Step::Start);
    world.publish(addService("during", "during", base));
    world.runFor(Millis(20000));
    if (!struck)
        return "the step was not reached";
    world.runFor(Millis(90000));
    if (!world.decided_.contains("during"))
        return "note without outcome";
    if (auto result = differences(world); !result.empty())
        return "after the fault: " + result;

    world.publish(addService("after", "after", world.nodes_.begin()->second.applied_));
    world.runFor(inForceBound);
    if (!world.decided_.contains("after") || !world.decided_.at("after").accepted_)
        return "the later note was not accepted";
    return differences(world);
}

class FaultMatrix : public testing::TestWithParam<Step>
{};

TEST_P(FaultMatrix, AcceptedNotesReachEveryDaemonAndNeverRevert)
{
    std::uint64_t seed = 0;
    for (std::size_t i = 0; i < faults().size(); ++i) {
        for (std::size_t j = i; j < faults().size(); ++j) {
            const auto &first = faults()[i];
            const auto &second = faults()[j];
            const auto result = runCase(GetParam(), first, second, ++seed);
            EXPECT_EQ(result, "") << first.name_ << " + " << second.name_ << ", seed " << seed;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Steps, FaultMatrix,
                         testing::Values(Step::Start, Step::AppendSent, Step::Appended,
                                         Step::FirstInForce, Step::HalfInForce, Step::AllInForce));

} // namespace
