#pragma once

#include <cstdint>

namespace allowance {

/** Command: append a record to the partition of the group if it ends at an offset. */
struct Append
{
    std::uint64_t expectedEnd_ = 0;
    std::uint64_t series_ = 0;   ///< distinguishes producers of this process
    std::uint64_t sequence_ = 0; ///< within the series; equal for repetitions of one append

    bool operator==(const Append &) const = default;
};

} // namespace allowance
