#include <logclient/Backoff.h>

#include <algorithm>

namespace logclient {

Backoff::Backoff(base::Millis base, base::Millis cap, std::uint64_t seed)
    : base_(base)
    , cap_(cap)
    , current_(base)
    , random_(seed)
{}

base::Millis Backoff::nextDelay()
{
    const auto half = current_.micros() / 2;
    const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(half, 0)) + 1;
    const auto delay =
            base::Millis::fromMicros(half + static_cast<std::int64_t>(random_.below(spread)));
    current_ = std::min(current_ * 2, cap_);
    return delay;
}

void Backoff::reset()
{
    current_ = base_;
}

} // namespace logclient
