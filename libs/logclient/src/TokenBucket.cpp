#include <logclient/TokenBucket.h>

#include <algorithm>

namespace logclient {

TokenBucket::TokenBucket(std::uint32_t burst, base::Millis interval)
    : capacity_(interval.micros() * burst)
    , interval_(interval)
    , saved_(capacity_)
{}

bool TokenBucket::take(base::Millis now)
{
    if (!started_) {
        started_ = true;
        last_ = now;
    }
    const auto passed = std::clamp<std::int64_t>((now - last_).micros(), 0, capacity_);
    saved_ = std::min(capacity_, saved_ + passed);
    last_ = std::max(last_, now);
    if (saved_ < interval_.micros())
        return false;
    saved_ -= interval_.micros();
    return true;
}

} // namespace logclient
