#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace allowance {

/** Part of a customer's allowance, for one daemon. Replaces its former part. */
struct Grant
{
    std::string customer_;
    double reserveRate_ = 0;       ///< a second
    double stock_ = 0;             ///< tokens that the daemon may hold at most
    double refill_ = 0;            ///< tokens for the stock
    std::uint32_t forHeld_ = 0;    ///< tokens for held requests; void if the answer is late
    base::Millis dryFor_;          ///< no further token is likely before; zero: ask at any time
    bool isOverAllowance_ = false; ///< all daemons together ask more than the rate

    bool operator==(const Grant &) const = default;
};

} // namespace allowance
