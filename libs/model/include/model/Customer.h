#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <model/Allowance.h>
#include <model/KeyDigest.h>

namespace model {

/** A customer (tenant): how its requests are recognised, how they rank, and what it may use. */
struct Customer
{
    std::string name_;
    std::uint32_t share_ = 1;            ///< weight relative to other customers at the same rank
    std::uint32_t maxConcurrent_ = 0;    ///< concurrent requests per instance; 0: no limit
    std::optional<int> rank_;            ///< goes before that of the request class
    std::vector<KeyDigest> keys_;        ///< digests of its access keys
    std::optional<Allowance> allowance_; ///< over all daemons; unset: no limit

    bool operator==(const Customer &) const = default;
};

} // namespace model
