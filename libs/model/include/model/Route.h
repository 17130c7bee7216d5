#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <model/RequestClass.h>
#include <model/WeightedService.h>

namespace model {

/** Route for the requests to one host below one path prefix. */
struct Route
{
    RequestClass class_;                    ///< its deadline limits how long a request may wait
    std::vector<WeightedService> services_; ///< at least one
    std::uint32_t maxAttempts_ = 1;         ///< number of instances that one request may be sent to
    base::Millis targetLatency_;            ///< latency up to which an answer has its full value

    /** Selects a service by weight; point: uniform random number in [0, 1). */
    std::string_view selectService(double point) const;

    bool operator==(const Route &) const = default;
};

} // namespace model
