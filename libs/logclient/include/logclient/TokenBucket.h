#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace logclient {

/** Rate limiter: allows `burst` at once, then one per `interval`. */
class TokenBucket
{
public:
    TokenBucket(std::uint32_t burst, base::Millis interval);

    /** Takes one token; returns false when none is available. */
    bool take(base::Millis now);

private:
    const std::int64_t capacityMicros_; ///< time for which tokens accumulate
    const base::Millis interval_;
    std::int64_t availableMicros_; ///< a token takes interval_
    base::Millis lastRefill_;
    bool started_ = false;
};

} // namespace logclient
