#include "RecordMonitor.h"

#include <base/Hash.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using base::Millis;

namespace {

constexpr unsigned dataCentres = 3;
constexpr unsigned size = 4;

/** A member suspected before the faults end may be declared dead and refute it in this time. */
constexpr Millis suspicionBound(15000);

std::string randomId()
{
    return Pump::name(*rc::gen::inRange(0U, dataCentres), *rc::gen::inRange(0U, size));
}

/** Cuts a random one-way or two-way set of links. */
void cutLinks(Pump &pump)
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const bool isTwoWay = *rc::gen::arbitrary<bool>();
    const bool byDataCentre = *rc::gen::arbitrary<bool>();
    pump.isCut_ = [=](const std::string &from, const std::string &to) {
        const auto side = [=](const std::string &id) {
            return base::hash64(byDataCentre ? id.substr(0, 2) : id, seed) % 2;
        };
        return isTwoWay ? side(from) != side(to) : side(from) < side(to);
    };
}

void injectFault(Pump &pump, std::set<std::string> &departed)
{
    const auto id = randomId();
    const bool isUnavailable = departed.contains(id) || !pump.isRunning(id);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        pump.crash(id);
        break;
    case 1:
        pump.pause(id);
        break;
    case 2:
        pump.resume(id);
        break;
    case 3:
        cutLinks(pump);
        break;
    case 4:
        pump.loss_ = *rc::gen::inRange(0, 40) / 100.0;
        break;
    case 5:
        pump.maxExtraDelay_ = Millis(*rc::gen::inRange(0, 3000));
        pump.duplicateProbability_ = *rc::gen::inRange(0, 30) / 100.0;
        break;
    case 6:
        if (isUnavailable)
            break;
        pump.tell(id, membership::LeaveRequested{});
        departed.insert(id);
        break;
    default:
        pump.restart(id);
        departed.erase(id);
    }
    pump.run(Millis(*rc::gen::inRange(100, 20000)));
}

void endFaults(Pump &pump, const std::set<std::string> &departed)
{
    pump.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    pump.loss_ = pump.duplicateProbability_ = 0;
    pump.maxExtraDelay_ = Millis();
    for (auto &[id, daemon] : pump.daemons_) {
        pump.resume(id);
        if (departed.contains(id))
            pump.crash(id);
    }
}

bool isDepartedListed(Pump &pump, const std::map<std::string, std::uint64_t> &generations)
{
    for (const auto &[observer, daemon] : pump.daemons_) {
        for (const auto &[id, generation] : generations) {
            const auto *record = daemon.core_ ? daemon.core_->find(id) : nullptr;
            if (record && record->isLive() && record->member_.generation_ == generation)
                return true;
        }
    }
    return false;
}

} // namespace

RC_GTEST_PROP(Membership, convergesAfterAnyFaults, ())
{
    Pump pump(*rc::gen::arbitrary<std::uint32_t>());
    pump.startAll(dataCentres, size);
    RC_ASSERT(pump.runUntil([&] { return pump.isConverged(); }, Millis(120000)));
    RecordMonitor monitor(pump);
    std::set<std::string> departed;
    for (int i = *rc::gen::inRange(1, 12); i > 0; --i)
        injectFault(pump, departed);
    endFaults(pump, departed);
    pump.run(suspicionBound);
    const bool hasConverged = pump.runUntil([&] { return pump.isConverged(); }, Millis(120000));
    RC_LOG() << pump.differences();
    RC_ASSERT(hasConverged);
    std::map<std::string, std::uint64_t> generations;
    for (const auto &id : departed)
        generations[id] = pump.daemons_.at(id).options_.self_.generation_;
    for (int i = 0; i < 30; ++i) {
        pump.run(Millis(1000));
        RC_ASSERT(!isDepartedListed(pump, generations));
        RC_LOG() << pump.differences();
        RC_ASSERT(pump.isConverged());
    }
    RC_ASSERT(!monitor.hasVersionDecreased_);
    RC_ASSERT(pump.largestDatagram_ <= membership::maxDatagramBytes);
}
