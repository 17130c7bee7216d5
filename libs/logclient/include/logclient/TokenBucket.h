#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace logclient {

/** Bounds a rate: `burst` at once, then one for each `interval`. */
class TokenBucket
{
public:
    TokenBucket(std::uint32_t burst, base::Millis interval);

    /** Takes one token; false when there is none at this time. */
    bool take(base::Millis now);

private:
    const std::int64_t capacity_; ///< microseconds of saved-up time
    const base::Millis interval_;
    std::int64_t saved_;
    base::Millis last_;
    bool started_ = false;
};

} // namespace logclient
