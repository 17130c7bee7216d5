#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <model/Address.h>
#include <model/RetiredBackend.h>
#include <model/Revision.h>

namespace model {

/** Whether the backend server beside a daemon accepts new requests. */
enum class ServingState : std::uint8_t {
    Absent,   ///< no backend server is registered
    Ready,    ///< accepts new requests
    Draining, ///< completes running requests and accepts no new ones
};

/** Membership record of one daemon and the backend server instance beside it. */
struct Member
{
    std::string id_;               ///< unique name of the daemon, from its settings
    std::uint64_t generation_ = 0; ///< identifies one process lifetime; increases with each restart
    std::string region_;
    std::string dataCentre_;
    Address peerAddress_;     ///< TCP: HTTP/2 requests between daemons
    Address controlAddress_;  ///< UDP: gossip; TCP on the same port: transfer of the full state
    std::string service_;     ///< empty while no backend server is registered
    std::uint32_t slots_ = 0; ///< maximum concurrent requests of the backend server
    ServingState serving_ = ServingState::Absent;
    Revision revision_ = 0; ///< newest release-note revision known to be in force at this daemon
    std::optional<RetiredBackend> retired_; ///< retired last beside this daemon, in any process

    bool operator==(const Member &) const = default;
};

} // namespace model
