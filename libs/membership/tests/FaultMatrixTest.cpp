#include "RecordMonitor.h"

#include <cstdio>

#include <base/Hash.h>
#include <gtest/gtest.h>

using base::Millis;
using membership::LeaveRequested;
using membership::ServiceChanged;
using membership::Status;

namespace {

constexpr Millis faultDuration(15000); ///< longer than the suspicion time-out
constexpr Millis convergenceBound(120000);

/** The member that a step acts on, and a second one. */
const std::string subject = "d0-2";
const std::string other = "d0-3";

enum class Needs { Nothing, RunningSubject };

/** One step of the protocol: how to trigger it, and its postcondition. */
struct Step
{
    std::string name_;
    Needs needs_;
    std::function<void(SimulatedCluster &)> trigger_;
    std::function<bool(SimulatedCluster &)> isSatisfied_ = [](SimulatedCluster &) {
        return true;
    };
};

/** One fault: how to inject it and how to end it. */
struct Fault
{
    std::string name_;
    std::function<void(SimulatedCluster &)> begin_;
    std::function<void(SimulatedCluster &)> end_;
    bool stopsSubject_ = false;  ///< the subject's process is gone, and its state with it
    bool pausesSubject_ = false; ///< the subject's process is suspended
};

void cutPair(SimulatedCluster &cluster, const std::string &a, const std::string &b)
{
    const auto before = cluster.isCut_;
    cluster.isCut_ = [=](const std::string &from, const std::string &to) {
        return before(from, to) || (from == a && to == b) || (from == b && to == a);
    };
}

void startDraining(SimulatedCluster &cluster)
{
    cluster.sendEvent(subject, ServiceChanged{model::ServingState::Draining, "wallet", 90});
}

bool isDrainingForAll(SimulatedCluster &cluster)
{
    for (const auto &[id, daemon] : cluster.daemons_) {
        const auto *record = daemon.core_ ? daemon.core_->find(subject) : nullptr;
        if (daemon.core_ && (!record || record->member_.serving_ != model::ServingState::Draining))
            return false;
    }
    return true;
}

void startNewMember(SimulatedCluster &cluster)
{
    cluster.start("new", "dc0", SimulatedCluster::address(200),
                  cluster.daemons_.at("d0-0").options_.seeds_);
}

void suspectSubject(SimulatedCluster &cluster)
{
    auto record = *cluster.core(other).find(subject);
    record.status_ = Status::Suspect;
    membership::Datagram datagram;
    datagram.senderId_ = other;
    datagram.senderDataCentre_ = "dc0";
    datagram.senderGeneration_ = cluster.core(other).self().generation_;
    datagram.records_ = {record};
    cluster.sendEvent("d0-1", membership::DatagramReceived{SimulatedCluster::address(3), datagram});
}

bool isAliveForAll(SimulatedCluster &cluster)
{
    for (const auto &[id, daemon] : cluster.daemons_) {
        if (daemon.core_ && daemon.core_->find(subject)->status_ != Status::Alive)
            return false;
    }
    return true;
}

void leave(SimulatedCluster &cluster)
{
    cluster.sendEvent(subject, LeaveRequested{});
    cluster.run(Millis(300));
    cluster.crash(subject);
}

const std::vector<Step> steps = {
        {"join", Needs::Nothing, startNewMember},
        {"probe", Needs::Nothing,
         [](SimulatedCluster &cluster) {
             cluster.run(Millis(3000));
         }},
        {"indirect probe", Needs::Nothing,
         [](SimulatedCluster &cluster) {
             cutPair(cluster, subject, other);
         }},
        {"suspect", Needs::RunningSubject, suspectSubject, isAliveForAll},
        {"refute", Needs::RunningSubject,
         [](SimulatedCluster &cluster) {
             suspectSubject(cluster);
             cluster.run(Millis(1000));
         },
         isAliveForAll},
        {"confirm", Needs::RunningSubject,
         [](SimulatedCluster &cluster) {
             cluster.crash(subject);
         }},
        {"sync", Needs::Nothing,
         [](SimulatedCluster &cluster) {
             for (const auto &[id, daemon] : cluster.daemons_)
                 cutPair(cluster, "d1-3", id);
             cluster.restart(other);
         }},
        {"relay exchange", Needs::RunningSubject, startDraining, isDrainingForAll},
        {"drain", Needs::RunningSubject, startDraining, isDrainingForAll},
        {"leave", Needs::RunningSubject, leave},
};

template<typename Cut>
Fault cutFault(std::string name, Cut cut)
{
    return {std::move(name),
            [cut](SimulatedCluster &cluster) {
                const auto before = cluster.isCut_;
                cluster.isCut_ = [=](const std::string &from, const std::string &to) {
                    return before(from, to) || cut(from, to);
                };
            },
            [](SimulatedCluster &) {
            }};
}

void restartStopped(SimulatedCluster &cluster, const std::string &id)
{
    if (!cluster.isRunning(id))
        cluster.restart(id);
}

std::vector<Fault> makeFaults()
{
    const auto noAction = [](SimulatedCluster &) {
    };
    std::vector<Fault> faults = {
            {"crash", [](SimulatedCluster &cluster) { cluster.crash(subject); },
             [](SimulatedCluster &cluster) { restartStopped(cluster, subject); }, true},
            {"pause", [](SimulatedCluster &cluster) { cluster.pause(subject); },
             [](SimulatedCluster &cluster) { cluster.resume(subject); }, false, true},
            {"loss", [](SimulatedCluster &cluster) { cluster.loss_ = 0.3; }, noAction},
            {"late", [](SimulatedCluster &cluster) { cluster.maxExtraDelay_ = Millis(1500); },
             noAction},
            {"duplicate", [](SimulatedCluster &cluster) { cluster.duplicateProbability_ = 0.5; },
             noAction},
            {"seed gone", [](SimulatedCluster &cluster) { cluster.crash("d0-0"); },
             [](SimulatedCluster &cluster) {
                 restartStopped(cluster, "d0-0");
             }},
            {"address reuse",
             [](SimulatedCluster &cluster) {
                 cluster.crash(subject);
                 cluster.start("heir", "dc0", SimulatedCluster::address(2),
                               cluster.daemons_.at("d0-0").options_.seeds_);
             },
             noAction, true},
            {"restart of all",
             [](SimulatedCluster &cluster) {
                 for (const auto &[id, daemon] : cluster.daemons_)
                     cluster.restart(id);
             },
             noAction, true},
    };
    faults.push_back(cutFault("partition", [](const std::string &from, const std::string &to) {
        return from.starts_with("d0") != to.starts_with("d0");
    }));
    faults.push_back(cutFault("one-way partition", [](const std::string &, const std::string &to) {
        return to == subject;
    }));
    return faults;
}

/** Why the step cannot be combined with the faults; empty if it can. */
std::string exclusionReason(const Step &step, const Fault &first, const Fault &second)
{
    const bool isStopped = first.stopsSubject_ || second.stopsSubject_;
    if (step.needs_ == Needs::RunningSubject && isStopped)
        return "the step needs a daemon that a fault stops";
    if (first.name_ != second.name_ && first.stopsSubject_ && second.stopsSubject_)
        return "both faults stop the same daemon";
    if (isStopped && (first.pausesSubject_ || second.pausesSubject_))
        return "a stopped process cannot be paused";
    return {};
}

void runCell(const Step &step, const Fault &first, const Fault &second)
{
    SCOPED_TRACE(step.name_ + " with " + first.name_ + " and " + second.name_);
    SimulatedCluster cluster(base::hash64(step.name_ + first.name_ + second.name_));
    cluster.startAll(2, 4);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.isConverged(); }, convergenceBound));
    RecordMonitor monitor(cluster);
    const bool isPaused = first.pausesSubject_ || second.pausesSubject_;
    const bool needsSubject = step.needs_ == Needs::RunningSubject;
    first.begin_(cluster);
    if (second.name_ != first.name_)
        second.begin_(cluster);
    if (!(isPaused && needsSubject))
        step.trigger_(cluster);
    cluster.run(faultDuration);
    cluster.loss_ = cluster.duplicateProbability_ = 0;
    cluster.maxExtraDelay_ = Millis();
    cluster.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    first.end_(cluster);
    if (second.name_ != first.name_)
        second.end_(cluster);
    if (isPaused && needsSubject)
        step.trigger_(cluster);
    EXPECT_TRUE(cluster.runUntil(
            [&] { return cluster.isConverged() && step.isSatisfied_(cluster); }, convergenceBound));
    EXPECT_FALSE(monitor.hasVersionDecreased_);
    EXPECT_LE(cluster.largestDatagram_, membership::maxDatagramBytes);
}

} // namespace

TEST(FaultMatrix, everyStepWithEveryFaultAndPair)
{
    const auto faults = makeFaults();
    std::map<std::string, int> reasons;
    int cells = 0;
    for (const auto &step : steps) {
        for (std::size_t i = 0; i < faults.size(); ++i) {
            for (std::size_t j = i; j < faults.size(); ++j) {
                if (const auto reason = exclusionReason(step, faults[i], faults[j]);
                    !reason.empty()) {
                    ++reasons[reason];
                    continue;
                }
                ++cells;
                runCell(step, faults[i], faults[j]);
            }
        }
    }
    std::printf("%d cells run\n", cells);
    for (const auto &[reason, count] : reasons)
        std::printf("%d cells left out: %s\n", count, reason.c_str());
}
