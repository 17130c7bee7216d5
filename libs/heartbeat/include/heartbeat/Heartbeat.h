#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <base/Millis.h>
#include <model/Address.h>

namespace heartbeat {

/** Status report that a backend server sends to the daemon beside it every one to two seconds. */
struct Heartbeat
{
    std::string instanceId_;
    /** Start of this incarnation in milliseconds since the Unix epoch, if the sender reports it. */
    std::optional<std::int64_t> startedAt_;
    std::uint64_t sequence_ = 0; ///< increases with each heartbeat of an incarnation
    std::string service_;
    model::Address address_;
    std::uint32_t slots_ = 0;      ///< maximum concurrent requests
    bool isDraining_ = false;      ///< accepts no new requests and terminates soon
    base::Millis warmUpRemaining_; ///< remaining warm-up time, during which it is slow

    bool operator==(const Heartbeat &) const = default;
};

} // namespace heartbeat
