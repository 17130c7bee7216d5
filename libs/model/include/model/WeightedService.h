#pragma once

#include <cstdint>
#include <string>

namespace model {

/** A target service of a route with its weight. */
struct WeightedService
{
    std::string service_;
    std::uint32_t weight_ = 1; ///< relative to the other services of the route

    bool operator==(const WeightedService &) const = default;
};

} // namespace model
