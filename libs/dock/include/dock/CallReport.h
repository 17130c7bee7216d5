#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace dock {

/** Number of attempts and queueing time of one call, for metrics. */
struct CallReport
{
    std::uint32_t attempts_ = 0;       ///< sent to instances
    base::Millis queueing_;            ///< wait for a slot at the instance that answered last
    std::uint32_t completedCalls_ = 0; ///< of the run that answered last, if they are counted

    bool operator==(const CallReport &) const = default;
};

} // namespace dock
