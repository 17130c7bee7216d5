#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <bench/CallSpec.h>
#include <bench/ServiceTime.h>
#include <model/Address.h>

namespace bench {

/** Settings of a simulated backend server instance. */
struct BackendOptions
{
    model::Address listen_;
    std::optional<model::Address> daemon_; ///< data port of its local daemon; unset: no daemon
    std::string service_;
    std::uint32_t slots_ = 8;
    std::uint32_t connections_ = 64;
    std::size_t queueLimit_ = 64; ///< requests waiting for a slot; further ones are rejected
    ServiceTime serviceTime_;
    /** Relative increase of the service time per slots_ queued requests. */
    double contentionFactor_ = 0.0;
    std::vector<CallSpec> calls_;
    base::Millis warmUpTime_ = base::Millis(0); ///< from start to full speed
    double coldStartFactor_ = 3.0;              ///< multiplier of the service time at start
    bool finishAbandoned_ = false;              ///< completes requests whose caller disconnected
    std::uint64_t seed_ = 1;
};

} // namespace bench
