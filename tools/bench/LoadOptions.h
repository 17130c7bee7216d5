#pragma once

#include <cstdint>
#include <vector>

#include <base/Millis.h>
#include <bench/RequestMix.h>
#include <model/Address.h>

namespace bench {

/** Settings of a load. */
struct LoadOptions
{
    std::vector<model::Address> daemons_; ///< data ports; each attempt goes to any one of them
    RequestMix mix_;
    double requestsPerSecond_ = 100.0; ///< new requests a second
    std::uint32_t retries_ = 0;        ///< attempts after the first one
    base::Millis retryDelay_ = base::Millis(0);
    std::uint64_t seed_ = 1;
    bool direct_ = false; ///< the addresses are of backend servers, which state no outcome
};

} // namespace bench
