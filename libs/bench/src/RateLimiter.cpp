#include <bench/RateLimiter.h>

#include <algorithm>

namespace bench {

namespace {

constexpr double millisPerSecond = 1000.0;

} // namespace

RateLimiter::RateLimiter(double tokensPerSecond)
    : tokensPerSecond_(tokensPerSecond)
    , tokens_(tokensPerSecond)
{}

bool RateLimiter::tryTake(base::Millis now)
{
    const double elapsed = (now - refilledAt_).fractional() / millisPerSecond;
    tokens_ = std::min(tokensPerSecond_, tokens_ + elapsed * tokensPerSecond_);
    refilledAt_ = now;
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace bench
