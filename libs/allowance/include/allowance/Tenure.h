#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace allowance {

/** Uninterrupted authority of one allotter: nobody else granted anything since it began. */
struct Tenure
{
    std::uint64_t fence_ = 0; ///< larger for each later tenure of the group
    base::Millis since_;      ///< buckets without a ledger begin to fill then
    base::Millis quietUntil_; ///< until then parts of an earlier tenure may be in force
    base::Millis validUntil_; ///< grants are allowed before this time
    std::uint64_t end_ = 0;   ///< of the partition, after the last append of this tenure

    bool operator==(const Tenure &) const = default;
};

} // namespace allowance
