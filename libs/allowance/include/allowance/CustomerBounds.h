#pragma once

#include <string>

#include <allowance/Bounds.h>

namespace allowance {

/** A customer with an allowance. */
struct CustomerBounds
{
    std::string customer_;
    Bounds bounds_;

    bool operator==(const CustomerBounds &) const = default;
};

} // namespace allowance
