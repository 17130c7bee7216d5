#pragma once

#include <cstdint>
#include <string>

namespace model {

/** One of the services that a route sends its requests to, with its share of them. */
struct WeightedService
{
    std::string service_;
    std::uint32_t weight_ = 1; ///< in proportion to the weights of the route's other services

    bool operator==(const WeightedService &) const = default;
};

} // namespace model
