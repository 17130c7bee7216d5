#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace routing {

/** Load of one instance as this daemon estimates it from the instance's last report. */
struct LoadStatus
{
    double active_ = 0.0; ///< requests running and queued
    std::uint32_t limit_ = 0;
    base::Millis holding_; ///< mean time for which a request holds a slot
    base::Millis age_;     ///< of the report

    bool operator==(const LoadStatus &) const = default;
};

} // namespace routing
