#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <base/Millis.h>
#include <model/Address.h>

namespace heartbeat {

/** What a backend server says of itself to the daemon beside it, about once a second or two. */
struct Heartbeat
{
    std::string instanceId_;
    /** Start of this incarnation in milliseconds since the Unix epoch, when the sender states it.
     */
    std::optional<std::int64_t> startedAt_;
    std::uint64_t sequence_ = 0; ///< grows with each heartbeat of one incarnation
    std::string service_;
    model::Address address_;
    std::uint32_t slots_ = 0;    ///< requests that it runs at once
    bool isDraining_ = false;    ///< takes no new work and ends soon
    base::Millis coldRemaining_; ///< how much longer it stays slow after its start

    bool operator==(const Heartbeat &) const = default;
};

} // namespace heartbeat
