#pragma once

#include <map>
#include <set>
#include <string>

#include "Pump.h"

/** Watches that no daemon's belief on any member goes back, and which live ones are held dead. */
class Watch
{
public:
    explicit Watch(Pump &pump)
        : pump_(pump)
    {
        pump.onStep_ = [this] {
            step();
        };
    }

    bool wentBack_ = false;
    std::set<std::string> falselyDead_;

private:
    void step()
    {
        for (auto &[observer, daemon] : pump_.daemons_) {
            if (!daemon.core_)
                continue;
            auto &known = known_[{observer, daemon.options_.self_.generation_}];
            for (const auto &record : daemon.core_->state(pump_.now_))
                look(known, record);
        }
    }

    void look(std::map<std::string, membership::Record> &known, const membership::Record &record)
    {
        const auto &id = record.member_.id_;
        const auto [place, isNew] = known.try_emplace(id, record);
        wentBack_ = wentBack_ || record.version() < place->second.version();
        place->second = record;
        const bool isRunning = pump_.isRunning(id)
                               && pump_.core(id).self().generation_ == record.member_.generation_;
        if (record.status_ == membership::Status::Dead && isRunning)
            falselyDead_.insert(id);
    }

    Pump &pump_;
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, membership::Record>>
            known_;
};
