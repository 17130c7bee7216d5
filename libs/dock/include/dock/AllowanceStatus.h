#pragma once

#include <cstdint>
#include <vector>

#include <allowance/Counts.h>
#include <allowance/Usage.h>

namespace dock {

/** State of the allowances of customers at one daemon. */
struct AllowanceStatus
{
    allowance::Counts counts_;
    std::vector<std::uint32_t> groups_;   ///< for which this daemon is the allotter
    std::vector<allowance::Usage> usage_; ///< by this daemon's callers

    bool operator==(const AllowanceStatus &) const = default;
};

} // namespace dock
