#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <model/RequestClass.h>
#include <model/WeightedService.h>

namespace model {

/** Requests to one host below one path prefix: their class and the services that may run them. */
struct Route
{
    RequestClass class_; ///< its deadline is the longest time that a request is kept waiting
    std::vector<WeightedService> services_; ///< at least one
    std::uint32_t maxAttempts_ = 1;         ///< instances that one request may be sent to
    base::Millis targetLatency_;            ///< time within which an answer has its full value

    /** The service for a point drawn evenly from [0, 1). */
    std::string_view serviceAt(double point) const;

    bool operator==(const Route &) const = default;
};

} // namespace model
