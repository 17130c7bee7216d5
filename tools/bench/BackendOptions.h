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

/** Settings of one stand-in backend server instance. */
struct BackendOptions
{
    model::Address listen_;
    std::optional<model::Address> daemon_; ///< data port of the daemon beside it
    std::string service_;
    std::uint32_t slots_ = 8;
    std::uint32_t connections_ = 64;
    std::size_t queueLimit_ = 64; ///< requests that wait for a slot; more are shed
    ServiceTime serviceTime_;
    double contention_ = 0.0; ///< growth of the service time for each full set of slots queued
    std::vector<CallSpec> calls_;
    base::Millis coldTime_ = base::Millis(0); ///< time until a started instance is at full speed
    double coldFactor_ = 3.0;                 ///< factor on the service time at the start
    bool finishAbandoned_ = false;            ///< goes on working after the caller hung up
    std::uint64_t seed_ = 1;
};

} // namespace bench
