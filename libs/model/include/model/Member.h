#pragma once

#include <cstdint>
#include <string>

#include <model/Address.h>
#include <model/Revision.h>

namespace model {

/** Whether the backend server beside a daemon takes new work. */
enum class ServingState : std::uint8_t {
    Absent,   ///< no backend server has announced itself
    Ready,    ///< takes new work
    Draining, ///< finishes what runs and takes nothing new
};

/** What the other daemons know of one daemon and the backend server instance beside it. */
struct Member
{
    std::string id_;               ///< unique name of the daemon, from its settings
    std::uint64_t generation_ = 0; ///< identifies one process lifetime; a later one is higher
    std::string region_;
    std::string dataCentre_;
    Address peerAddress_;     ///< TCP, HTTP/2 requests between daemons
    Address controlAddress_;  ///< UDP gossip, and TCP on the same port for full state
    std::string service_;     ///< empty while no backend server is announced
    std::uint32_t slots_ = 0; ///< requests that the backend server can run at once
    ServingState serving_ = ServingState::Absent;
    Revision revision_ = 0; ///< newest release-note revision known to be in force there

    bool operator==(const Member &) const = default;
};

} // namespace model
