#pragma once

#include <cstdint>

#include <base/Millis.h>
#include <base/Random.h>

namespace logclient {

/**
 * Exponential backoff with jitter: doubles from `base` to `cap`; each delay is drawn uniformly from
 * the upper half, so that daemons that failed together do not retry together.
 */
class Backoff
{
public:
    Backoff(base::Millis base, base::Millis cap, std::uint64_t seed);

    /** Records a failed attempt and returns the delay before the next one. */
    base::Millis nextDelay();

    /** Records a success: resets the delay to `base`. */
    void reset();

private:
    const base::Millis base_;
    const base::Millis cap_;
    base::Millis current_;
    base::Random random_;
};

} // namespace logclient
