#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace heartbeat {

/** A backend server's last word before it ends: it takes no new work any more. */
struct Deregistration
{
    std::string instanceId_;
    std::optional<std::int64_t> startedAt_; ///< as in Heartbeat

    bool operator==(const Deregistration &) const = default;
};

} // namespace heartbeat
