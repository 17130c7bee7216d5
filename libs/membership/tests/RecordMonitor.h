#pragma once

#include <map>
#include <set>
#include <string>

#include "SimulatedCluster.h"

/** Detects record versions that decrease at a daemon and running members listed as dead. */
class RecordMonitor
{
public:
    explicit RecordMonitor(SimulatedCluster &cluster)
        : cluster_(cluster)
    {
        cluster.onStep_ = [this] {
            checkAll();
        };
    }

    bool hasVersionDecreased_ = false;
    std::set<std::string> falselyDead_;

private:
    void checkAll()
    {
        for (auto &[observer, daemon] : cluster_.daemons_) {
            if (!daemon.core_)
                continue;
            auto &previousRecords = previousRecords_[{observer, daemon.options_.self_.generation_}];
            for (const auto &record : daemon.core_->state(cluster_.now_))
                check(previousRecords, record);
        }
    }

    void check(std::map<std::string, membership::Record> &previousRecords,
               const membership::Record &record)
    {
        const auto &id = record.member_.id_;
        const auto [previous, isNew] = previousRecords.try_emplace(id, record);
        hasVersionDecreased_ =
                hasVersionDecreased_ || record.version() < previous->second.version();
        previous->second = record;
        const bool isRunning =
                cluster_.isRunning(id)
                && cluster_.core(id).self().generation_ == record.member_.generation_;
        if (record.status_ == membership::Status::Dead && isRunning)
            falselyDead_.insert(id);
    }

    SimulatedCluster &cluster_;
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, membership::Record>>
            previousRecords_;
};
