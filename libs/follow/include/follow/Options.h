#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace follow {

/** How a Core reads a topic. */
struct Options
{
    /**
     * Maximum wait of one read for new records. A dead connection is detected only after this time
     * plus the client's time-out, so it stays below the time allowed for distributing a new
     * configuration.
     */
    base::Millis longPollTimeout_ = base::Millis(2500);
    base::Millis notifiedReadInterval_ = base::Millis(30'000); ///< while peers notify of records
    base::Millis firstRetryDelay_ = base::Millis(100);         ///< after a failed read; doubles
    base::Millis maxRetryDelay_ = base::Millis(1000);
    std::uint64_t seed_ = 1;
};

} // namespace follow
