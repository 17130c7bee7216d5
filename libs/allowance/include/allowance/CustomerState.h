#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <allowance/Part.h>

namespace allowance {

/** State of one customer at the end of a tenure. */
struct CustomerState
{
    std::string customer_;
    double level_ = 0;      ///< of the bucket
    double onTheirWay_ = 0; ///< tokens for held requests that may not have arrived
    std::vector<Part> parts_;

    bool operator==(const CustomerState &) const = default;
};

} // namespace allowance
