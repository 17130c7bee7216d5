#pragma once

#include <base/Millis.h>

namespace bench {

/** Token bucket that holds one second's worth of tokens. No clock. */
class RateLimiter
{
public:
    explicit RateLimiter(double perSecond);

    /** Takes a token when there is one. */
    bool tryTake(base::Millis now);

private:
    double perSecond_;
    double tokens_;
    base::Millis refilledAt_;
};

} // namespace bench
