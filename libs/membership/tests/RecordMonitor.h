#pragma once

#include <map>
#include <set>
#include <string>

#include "Pump.h"

/** Detects record versions that decrease at a daemon and running members listed as dead. */
class RecordMonitor
{
public:
    explicit RecordMonitor(Pump &pump)
        : pump_(pump)
    {
        pump.onStep_ = [this] {
            checkAll();
        };
    }

    bool hasVersionDecreased_ = false;
    std::set<std::string> falselyDead_;

private:
    void checkAll()
    {
        for (auto &[observer, daemon] : pump_.daemons_) {
            if (!daemon.core_)
                continue;
            auto &previousRecords = previousRecords_[{observer, daemon.options_.self_.generation_}];
            for (const auto &record : daemon.core_->state(pump_.now_))
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
        const bool isRunning = pump_.isRunning(id)
                               && pump_.core(id).self().generation_ == record.member_.generation_;
        if (record.status_ == membership::Status::Dead && isRunning)
            falselyDead_.insert(id);
    }

    Pump &pump_;
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, membership::Record>>
            previousRecords_;
};
