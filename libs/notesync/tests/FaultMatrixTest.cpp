#include <gtest/gtest.h>

#include "SimulatedCluster.h"

namespace {

using base::Millis;

struct Fault
{
    const char *name_;
    std::function<void(SimulatedCluster &)> start_;
    std::function<void(SimulatedCluster &)> clear_;
};

void rollingRestart(SimulatedCluster &cluster)
{
    Millis delay(0);
    for (const auto &[id, node] : cluster.nodes_) {
        cluster.schedule(delay, [&cluster, id = id] { cluster.stop(id); });
        cluster.schedule(delay + Millis(500), [&cluster, id = id] { cluster.start(id); });
        delay = delay + Millis(3000);
    }
}

void stopDataCentre(SimulatedCluster &cluster, const std::string &dataCentre)
{
    for (const auto &[id, node] : cluster.nodes_) {
        if (node.dataCentre_ == dataCentre)
            cluster.stop(id);
    }
}

void startDataCentre(SimulatedCluster &cluster, const std::string &dataCentre)
{
    for (const auto &[id, node] : cluster.nodes_) {
        if (node.dataCentre_ == dataCentre)
            cluster.start(id);
    }
}

void noAction(SimulatedCluster &) {}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all{
            {"none", noAction, noAction},
            {"log down", [](SimulatedCluster &cluster) { cluster.log_.isDown_ = true; },
             [](SimulatedCluster &cluster) {
                 cluster.log_.isDown_ = false;
             }},
            {"log slow", [](SimulatedCluster &cluster) { cluster.log_.delay_ = Millis(3000); },
             [](SimulatedCluster &cluster) {
                 cluster.log_.delay_ = Millis(20);
             }},
            {"append responses lost",
             [](SimulatedCluster &cluster) { cluster.log_.losesResponses_ = true; },
             [](SimulatedCluster &cluster) {
                 cluster.log_.losesResponses_ = false;
             }},
            {"log trimmed", [](SimulatedCluster &cluster) { cluster.trim(); },
             [](SimulatedCluster &cluster) {
                 cluster.trim();
             }},
            {"malformed records on the log",
             [](SimulatedCluster &cluster) {
                 cluster.append("{\"v\":1,\"type\":\"note\"}");
                 cluster.append("\xff\x00rubbish");
             },
             noAction},
            {"data centre partitioned from the log",
             [](SimulatedCluster &cluster) { cluster.log_.unreachableFrom_ = {"a"}; },
             [](SimulatedCluster &cluster) {
                 cluster.log_.unreachableFrom_.clear();
             }},
            {"data centre partitioned from the others",
             [](SimulatedCluster &cluster) { cluster.isolatedDataCentres_ = {"a"}; },
             [](SimulatedCluster &cluster) {
                 cluster.isolatedDataCentres_.clear();
             }},
            {"data centre partitioned from the log and the others",
             [](SimulatedCluster &cluster) {
                 cluster.isolatedDataCentres_ = {"b"};
                 cluster.log_.unreachableFrom_ = {"b"};
             },
             [](SimulatedCluster &cluster) {
                 cluster.isolatedDataCentres_.clear();
                 cluster.log_.unreachableFrom_.clear();
             }},
            {"rolling restart", rollingRestart, noAction},
            {"all daemons of a data centre restart",
             [](SimulatedCluster &cluster) { stopDataCentre(cluster, "a"); },
             [](SimulatedCluster &cluster) {
                 startDataCentre(cluster, "a");
             }},
            {"a daemon pauses and resumes with a stale member list",
             [](SimulatedCluster &cluster) { cluster.pause("a1"); },
             [](SimulatedCluster &cluster) {
                 cluster.resume("a1");
             }},
            {"an outdated snapshot is appended",
             [](SimulatedCluster &cluster) {
                 cluster.append(note::encodeRecord(note::Snapshot{note::State{}}));
             },
             noAction},
    };
    return all;
}

note::ReleaseNote addService(const std::string &id, const std::string &service,
                             model::Revision base)
{
    const model::Service value{service};
    return {id, base, {{note::Action::Add, note::keyOf(value), value}}};
}

void addDaemons(SimulatedCluster &cluster, int daemonsEach)
{
    for (const char dataCentre : {'a', 'b', 'c'}) {
        for (int i = 0; i < daemonsEach; ++i)
            cluster.addNode(dataCentre + std::to_string(i), std::string(1, dataCentre));
    }
}

/** Lists daemons without all accepted notes, differing states and violations; empty if converged.
 */
std::string convergenceErrors(const SimulatedCluster &cluster)
{
    std::string result;
    std::set<std::string> digests;
    for (const auto &[id, node] : cluster.nodes_) {
        digests.insert(node.sync_->status().digest_);
        for (const auto &[noteId, outcome] : cluster.outcomes_) {
            if (outcome.accepted_ && node.appliedRevision_ < outcome.revision_)
                result += id + " has a revision before that of accepted note " + noteId + "\n";
            if (outcome.accepted_ && node.sync_->config()
                && !node.sync_->config()->services_.contains(noteId))
                result += id + " lacks the service of accepted note " + noteId + "\n";
        }
    }
    if (digests.size() != 1)
        result += std::to_string(digests.size()) + " different states\n";
    for (const auto &violation : cluster.violations_)
        result += violation + "\n";
    return result;
}

constexpr Millis propagationLimit(17000);

/** Injects the faults at the stage, clears them after 40 s, and returns the violated guarantees. */
std::string runCase(PublishStage stage, const Fault &first, const Fault &second, std::uint64_t seed)
{
    SimulatedCluster cluster(seed);
    addDaemons(cluster, 3);
    cluster.runFor(Millis(8000));
    cluster.publish(addService("before", "before", 0));
    cluster.runFor(propagationLimit);
    if (auto result = convergenceErrors(cluster); !result.empty() || cluster.outcomes_.size() != 1)
        return "before the fault: " + result;

    bool isInjected = false;
    const auto injectFaults = [&] {
        isInjected = true;
        first.start_(cluster);
        second.start_(cluster);
        cluster.schedule(Millis(40000), [&] {
            first.clear_(cluster);
            second.clear_(cluster);
        });
    };
    cluster.trackedRevision_ = 0;
    cluster.onStage_ = [&](PublishStage reached) {
        if (!isInjected && reached == stage)
            injectFaults();
    };
    const auto base = cluster.nodes_.begin()->second.appliedRevision_;
    cluster.reportStage(PublishStage::Start);
    cluster.publish(addService("during", "during", base));
    cluster.runFor(Millis(20000));
    if (!isInjected)
        return "the stage was not reached";
    cluster.runFor(Millis(90000));
    if (!cluster.outcomes_.contains("during"))
        return "the note published during the fault has no outcome";
    if (auto result = convergenceErrors(cluster); !result.empty())
        return "after the fault: " + result;

    cluster.publish(addService("after", "after", cluster.nodes_.begin()->second.appliedRevision_));
    cluster.runFor(propagationLimit);
    if (!cluster.outcomes_.contains("after") || !cluster.outcomes_.at("after").accepted_)
        return "the note published after the fault was not accepted";
    return convergenceErrors(cluster);
}

class FaultMatrix : public testing::TestWithParam<PublishStage>
{};

TEST_P(FaultMatrix, acceptedNotesReachAllDaemonsAndAreNeverReverted)
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
                         testing::Values(PublishStage::Start, PublishStage::AppendSent,
                                         PublishStage::Appended, PublishStage::FirstInForce,
                                         PublishStage::HalfInForce, PublishStage::AllInForce));

} // namespace
