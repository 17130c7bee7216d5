#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include <membership/Datagram.h>

namespace membership {

/** Runs the timers; must be passed in at least once every gossip interval. */
struct Tick
{};

/** A datagram was received and decoded. */
struct DatagramReceived
{
    model::Address from_;
    Datagram datagram_;
};

/** A FetchState command succeeded. */
struct StateFetched
{
    model::Address from_;
    std::uint64_t request_ = 0;
    std::vector<Record> records_;
};

/** A FetchState command failed. */
struct StateFetchFailed
{
    std::uint64_t request_ = 0;
};

/** Further candidate addresses of daemons, as answer to FindSeeds. */
struct SeedsFound
{
    std::vector<model::Address> addresses_;
};

/** The backend server beside this daemon changed. */
struct ServiceChanged
{
    model::ServingState serving_ = model::ServingState::Absent;
    std::string service_;
    std::uint32_t slots_ = 0;
};

/** The backend server beside this daemon has announced its end. */
struct BackendRetired
{
    model::RetiredBackend retired_;
};

/** A release-note revision came into force at this daemon. */
struct RevisionInForce
{
    model::Revision revision_ = 0;
};

/** This daemon is about to stop; it announces its departure immediately. */
struct LeaveRequested
{};

using Event = std::variant<Tick, DatagramReceived, StateFetched, StateFetchFailed, SeedsFound,
                           ServiceChanged, BackendRetired, RevisionInForce, LeaveRequested>;

} // namespace membership
