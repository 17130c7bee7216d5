#pragma once

#include <cstdint>

#include <base/Millis.h>
#include <base/Random.h>

namespace logclient {

/**
 * Delays between attempts: doubling from `base` to `cap`, each drawn evenly between half of it and
 * all of it, so that daemons that failed together do not come back together.
 */
class Backoff
{
public:
    Backoff(base::Millis base, base::Millis cap, std::uint64_t seed);

    /** Delay before the next attempt, after one more failure. */
    base::Millis failed();

    /** Starts again from `base`. */
    void succeeded();

private:
    const base::Millis base_;
    const base::Millis cap_;
    base::Millis current_;
    base::Random random_;
};

} // namespace logclient
