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
    return SimulatedCluster::name(*rc::gen::inRange(0U, dataCentres), *rc::gen::inRange(0U, size));
}

/** Cuts a random one-way or two-way set of links. */
void cutLinks(SimulatedCluster &cluster)
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const bool isTwoWay = *rc::gen::arbitrary<bool>();
    const bool byDataCentre = *rc::gen::arbitrary<bool>();
    cluster.isCut_ = [=](const std::string &from, const std::string &to) {
        const auto side = [=](const std::string &id) {
            return base::hash64(byDataCentre ? id.substr(0, 2) : id, seed) % 2;
        };
        return isTwoWay ? side(from) != side(to) : side(from) < side(to);
    };
}

void injectFault(SimulatedCluster &cluster, std::set<std::string> &departed)
{
    const auto id = randomId();
    const bool isUnavailable = departed.contains(id) || !cluster.isRunning(id);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        cluster.crash(id);
        break;
    case 1:
        cluster.pause(id);
        break;
    case 2:
        cluster.resume(id);
        break;
    case 3:
        cutLinks(cluster);
        break;
    case 4:
        cluster.loss_ = *rc::gen::inRange(0, 40) / 100.0;
        break;
    case 5:
        cluster.maxExtraDelay_ = Millis(*rc::gen::inRange(0, 3000));
        cluster.duplicateProbability_ = *rc::gen::inRange(0, 30) / 100.0;
        break;
    case 6:
        if (isUnavailable)
            break;
        cluster.sendEvent(id, membership::LeaveRequested{});
        departed.insert(id);
        break;
    default:
        cluster.restart(id);
        departed.erase(id);
    }
    cluster.run(Millis(*rc::gen::inRange(100, 20000)));
}

void endFaults(SimulatedCluster &cluster, const std::set<std::string> &departed)
{
    cluster.isCut_ = [](const auto &, const auto &) {
        return false;
    };
    cluster.loss_ = cluster.duplicateProbability_ = 0;
    cluster.maxExtraDelay_ = Millis();
    for (auto &[id, daemon] : cluster.daemons_) {
        cluster.resume(id);
        if (departed.contains(id))
            cluster.crash(id);
    }
}

bool isDepartedListed(SimulatedCluster &cluster,
                      const std::map<std::string, std::uint64_t> &generations)
{
    for (const auto &[observer, daemon] : cluster.daemons_) {
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
    SimulatedCluster cluster(*rc::gen::arbitrary<std::uint32_t>());
    cluster.startAll(dataCentres, size);
    RC_ASSERT(cluster.runUntil([&] { return cluster.isConverged(); }, Millis(120000)));
    RecordMonitor monitor(cluster);
    std::set<std::string> departed;
    for (int i = *rc::gen::inRange(1, 12); i > 0; --i)
        injectFault(cluster, departed);
    endFaults(cluster, departed);
    cluster.run(suspicionBound);
    const bool hasConverged =
            cluster.runUntil([&] { return cluster.isConverged(); }, Millis(120000));
    RC_LOG() << cluster.differences();
    RC_ASSERT(hasConverged);
    std::map<std::string, std::uint64_t> generations;
    for (const auto &id : departed)
        generations[id] = cluster.daemons_.at(id).options_.self_.generation_;
    for (int i = 0; i < 30; ++i) {
        cluster.run(Millis(1000));
        RC_ASSERT(!isDepartedListed(cluster, generations));
        RC_LOG() << cluster.differences();
        RC_ASSERT(cluster.isConverged());
    }
    RC_ASSERT(!monitor.hasVersionDecreased_);
    RC_ASSERT(cluster.largestDatagram_ <= membership::maxDatagramBytes);
}
