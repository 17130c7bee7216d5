#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include <membership/Datagram.h>

namespace membership {

/** Time has passed; due at least every gossip interval. */
struct Tick
{};

/** A datagram came in. */
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

/** Further addresses at which daemons may be found. */
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

/** A release-note revision is in force here. */
struct RevisionInForce
{
    model::Revision revision_ = 0;
};

/** This daemon is about to stop; said to the others at once. */
struct LeaveRequested
{};

using Event = std::variant<Tick, DatagramReceived, StateFetched, StateFetchFailed, SeedsFound,
                           ServiceChanged, RevisionInForce, LeaveRequested>;

} // namespace membership
