#include <bench/RateLimiter.h>

#include <algorithm>

namespace bench {

namespace {

constexpr double millisPerSecond = 1000.0;

} // namespace

RateLimiter::RateLimiter(double perSecond)
    : perSecond_(perSecond)
    , tokens_(perSecond)
{}

bool RateLimiter::tryTake(base::Millis now)
{
    const double elapsed = (now - refilledAt_).fractional() / millisPerSecond;
    tokens_ = std::min(perSecond_, tokens_ + elapsed * perSecond_);
    refilledAt_ = now;
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace bench
