#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace allowance {

/** Part of an allowance that a daemon may hold, as its allotter counts it. */
struct Part
{
    std::string daemon_;
    std::uint64_t generation_ = 0;
    double reserveRate_ = 0;
    double stock_ = 0;
    double demand_ = 0;
    base::Millis expiresIn_;

    bool operator==(const Part &) const = default;
};

} // namespace allowance
