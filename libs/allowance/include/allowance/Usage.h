#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace allowance {

/** One customer's use of its allowance at this daemon, for status and metrics. */
struct Usage
{
    std::string customer_;
    double demand_ = 0;      ///< requests a second, refused ones too
    double level_ = 0;       ///< tokens held
    double stock_ = 0;       ///< tokens that may be held
    double reserveRate_ = 0; ///< a second, while the allotter is silent
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
    bool isDry_ = false;

    bool operator==(const Usage &) const = default;
};

} // namespace allowance
