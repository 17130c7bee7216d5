#pragma once

#include <cstdint>
#include <string>

namespace model {

/** A customer (tenant) with its fair-share weight and concurrency limit per instance. */
struct Customer
{
    std::string name_;
    std::uint32_t share_ = 1;         ///< weight relative to other customers at the same rank
    std::uint32_t maxConcurrent_ = 0; ///< concurrent requests per instance; 0: no limit

    bool operator==(const Customer &) const = default;
};

} // namespace model
