#pragma once

#include <cstdint>
#include <vector>

#include <base/Millis.h>
#include <bench/RequestMix.h>
#include <model/Address.h>

namespace bench {

/** Settings of a load generator. */
struct LoadOptions
{
    std::vector<model::Address> daemons_; ///< data ports; each attempt goes to a random one
    RequestMix mix_;
    double requestsPerSecond_ = 100.0; ///< new requests per second
    std::uint32_t retries_ = 0;        ///< attempts after the first one
    base::Millis retryDelay_ = base::Millis(0);
    std::uint64_t seed_ = 1;
    bool direct_ = false; ///< daemons_ are backend servers, which may send no outcome header
};

} // namespace bench
