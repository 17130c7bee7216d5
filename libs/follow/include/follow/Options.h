#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace follow {

/** How a Core reads a topic. */
struct Options
{
    /**
     * Longest wait of one read for new records. A connection that went silent is noticed after this
     * time and the client's time-out, so it stays below the time allowed for a new configuration.
     */
    base::Millis longPoll_ = base::Millis(2500);
    base::Millis toldInterval_ = base::Millis(30'000); ///< of reads while others tell of records
    base::Millis firstRetry_ = base::Millis(100);      ///< after a failed read; doubles
    base::Millis longestRetry_ = base::Millis(1000);
    std::uint64_t seed_ = 1;
};

} // namespace follow
