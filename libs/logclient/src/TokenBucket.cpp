#include <logclient/TokenBucket.h>

#include <algorithm>

namespace logclient {

TokenBucket::TokenBucket(std::uint32_t burst, base::Millis interval)
    : capacityMicros_(interval.micros() * burst)
    , interval_(interval)
    , availableMicros_(capacityMicros_)
{}

bool TokenBucket::take(base::Millis now)
{
    if (!started_) {
        started_ = true;
        lastRefill_ = now;
    }
    const auto passed = std::clamp<std::int64_t>((now - lastRefill_).micros(), 0, capacityMicros_);
    availableMicros_ = std::min(capacityMicros_, availableMicros_ + passed);
    lastRefill_ = std::max(lastRefill_, now);
    if (availableMicros_ < interval_.micros())
        return false;
    availableMicros_ -= interval_.micros();
    return true;
}

} // namespace logclient
