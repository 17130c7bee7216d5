#pragma once

#include <base/Millis.h>

namespace bench {

/** Token bucket with a capacity of one second's worth of tokens. Uses no clock. */
class RateLimiter
{
public:
    explicit RateLimiter(double tokensPerSecond);

    /** Takes a token if one is available. */
    bool tryTake(base::Millis now);

private:
    double tokensPerSecond_;
    double tokens_;
    base::Millis refilledAt_;
};

} // namespace bench
