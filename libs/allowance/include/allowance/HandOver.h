#pragma once

#include <cstdint>
#include <vector>

#include <allowance/CustomerState.h>

namespace allowance {

/** Message of a leaving allotter to its successor, which may claim at once. */
struct HandOver
{
    std::uint32_t group_ = 0;
    std::uint64_t end_ = 0; ///< of the group's partition
    std::vector<CustomerState> customers_;

    bool operator==(const HandOver &) const = default;
};

} // namespace allowance
