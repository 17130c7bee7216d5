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
    std::function<void(Pump &)> trigger_;
    std::function<bool(Pump &)> isSatisfied_ = [](Pump &) {
        return true;
    };
};

/** One fault: how to inject it and how to end it. */
struct Fault
{
    std::string name_;
    std::function<void(Pump &)> begin_;
    std::function<void(Pump &)> end_;
    bool stopsSubject_ = false;  ///< the subject's process is gone, and its state with it
    bool pausesSubject_ = false; ///< the subject's process is suspended
};

void cutPair(Pump &pump, const std::string &a, const std::string &b)
{
    const auto before = pump.isCut_;
    pump.isCut_ = [=](const std::string &from, const std::string &to) {
        return before(from, to) || (from == a && to == b) || (from == b && to == a);
    };
}

void startDraining(Pump &pump)
{
    pump.tell(subject, ServiceChanged{model::ServingState::Draining, "wallet", 90});
}

bool isDrainingForAll(Pump &pump)
{
    for (const auto &[id, daemon] : pump.daemons_) {
        const auto *record = daemon.core_ ? daemon.core_->find(subject) : nullptr;
        if (daemon.core_ && (!record || record->member_.serving_ != model::ServingState::Draining))
            return false;
    }
    return true;
}

void startNewMember(Pump &pump)
{
    pump.start("new", "dc0", Pump::address(200), pump.daemons_.at("d0-0").options_.seeds_);
}

void suspectSubject(Pump &pump)
{
    auto record = *pump.core(other).find(subject);
    record.status_ = Status::Suspect;
    membership::Datagram datagram;
    datagram.senderId_ = other;
    datagram.senderDataCentre_ = "dc0";
    datagram.senderGeneration_ = pump.core(other).self().generation_;
    datagram.records_ = {record};
    pump.tell("d0-1", membership::DatagramReceived{Pump::address(3), datagram});
}

bool isAliveForAll(Pump &pump)
{
    for (const auto &[id, daemon] : pump.daemons_) {
        if (daemon.core_ && daemon.core_->find(subject)->status_ != Status::Alive)
            return false;
    }
    return true;
}

void leave(Pump &pump)
{
    pump.tell(subject, LeaveRequested{});
    pump.run(Millis(300));
    pump.crash(subject);
}

const std::vector<Step> steps = {
        {"join", Needs::Nothing, startNewMember},
        {"probe", Needs::Nothing,
         [](Pump &pump) {
             pump.run(Millis(3000));
         }},
        {"indirect probe", Needs::Nothing,
         [](Pump &pump) {
             cutPair(pump, subject, other);
         }},
        {"suspect", Needs::RunningSubject, suspectSubject, isAliveForAll},
        {"refute", Needs::RunningSubject,
         [](Pump &pump) {
             suspectSubject(pump);
             pump.run(Millis(1000));
         },
         isAliveForAll},
        {"confirm", Needs::RunningSubject,
         [](Pump &pump) {
             pump.crash(subject);
         }},
        {"sync", Needs::Nothing,
         [](Pump &pump) {
             for (const auto &[id, daemon] : pump.daemons_)
                 cutPair(pump, "d1-3", id);
             pump.restart(other);
         }},
        {"relay exchange", Needs::RunningSubject, startDraining, isDrainingForAll},
        {"drain", Needs::RunningSubject, startDraining, isDrainingForAll},
        {"leave", Needs::RunningSubject, leave},
};

template<typename Cut>
Fault cutFault(std::string name, Cut cut)
{
    return {std::move(name),
            [cut](Pump &pump) {
                const auto before = pump.isCut_;
                pump.isCut_ = [=](const std::string &from, const std::string &to) {
                    return before(from, to) || cut(from, to);
                };
            },
            [](Pump &) {
            }};
}

void restartStopped(Pump &pump, const std::string &id)
{
    if (!pump.isRunning(id))
        pump.restart(id);
}

std::vector<Fault> makeFaults()
{
    const auto noAction = [](Pump &) {
    };
    std::vector<Fault> faults = {
            {"crash", [](Pump &pump) { pump.crash(subject); },
             [](Pump &pump) { restartStopped(pump, subject); }, true},
            {"pause", [](Pump &pump) { pump.pause(subject); },
             [](Pump &pump) { pump.resume(subject); }, false, true},
            {"loss", [](Pump &pump) { pump.loss_ = 0.3; }, noAction},
            {"late", [](Pump &pump) { pump.maxExtraDelay_ = Millis(1500); }, noAction},
            {"duplicate", [](Pump &pump) { pump.duplicateProbability_ = 0.5; }, noAction},
            {"seed gone", [](Pump &pump) { pump.crash("d0-0"); },
             [](Pump &pump) {
                 restartStopped(pump, "d0-0");
             }},
            {"address reuse",
             [](Pump &pump) {
                 pump.crash(subject);
                 pump.start("heir", "dc0", Pump::address(2),
                            pump.daemons_.at("d0-0").options_.seeds_);
             },
             noAction, true},
            {"restart of all",
             [](Pump &pump) {
                 for (const auto &[id, daemon] : pump.daemons_)
                     pump.restart(id);
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
    Pump pump(base::hash64(step.name_ + first.name_ + second.name_));
    pump.startAll(2, 4);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, convergenceBound));
    RecordMonitor monitor(pump);
    const bool isPaused = first.pausesSubject_ || second.pausesSubject_;
    const bool needsSubject = step.needs_ == Needs::RunningSubject;
    first.begin_(pump);
    if (second.name_ != first.name_)
        second.begin_(pump);
    if (!(isPaused && needsSubject))
        step.trigger_(pump);
    pump.run(faultDuration);
    pump.loss_ = pump.duplicateProbability_ = 0;
    pump.maxExtraDelay_ = Millis();
    pump.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    first.end_(pump);
    if (second.name_ != first.name_)
        second.end_(pump);
    if (isPaused && needsSubject)
        step.trigger_(pump);
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged() && step.isSatisfied_(pump); },
                              convergenceBound));
    EXPECT_FALSE(monitor.hasVersionDecreased_);
    EXPECT_LE(pump.largestDatagram_, membership::maxDatagramBytes);
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
