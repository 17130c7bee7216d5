#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace heartbeat {

/** Sent by a backend server before it terminates: it accepts no new requests. */
struct Deregistration
{
    std::string instanceId_;
    std::optional<std::int64_t> startedAt_; ///< as in Heartbeat

    bool operator==(const Deregistration &) const = default;
};

} // namespace heartbeat
