#pragma once

#include <cstdint>
#include <string>

namespace model {

/** A customer (tenant) with its weight and limit at each instance. */
struct Customer
{
    std::string name_;
    std::uint32_t share_ = 1;         ///< weight against other customers of the same rank
    std::uint32_t maxConcurrent_ = 0; ///< running requests at one instance; 0: no limit

    bool operator==(const Customer &) const = default;
};

} // namespace model
