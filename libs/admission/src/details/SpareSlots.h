#pragma once

#include <cstddef>
#include <cstdint>

#include <details/ServiceTimes.h>

namespace admission::details {

/**
 * Determines whether a backend server has a higher throughput with a few of its slots kept free.
 *
 * Some servers slow down when nearly full, and serve fewer requests with all slots in use than with
 * 94 of 100. While requests are queued, service times with all slots and with some kept free are
 * compared. The slots are kept free for a while if the gain in speed outweighs the lost slots.
 */
class SpareSlots
{
public:
    void setSlots(std::uint32_t slots);

    /** Number of requests that may run at once. */
    std::uint32_t usable() const;

    /** Adds the requests served in one window; wasLimitReached: requests waited for a slot. */
    void closeWindow(const ServedWork &served, bool wasLimitReached);

private:
    enum class Phase : std::uint8_t {
        MeasuringAll,
        Settling, ///< the limit was lowered; requests started before are still running
        MeasuringWithSpare,
        KeepingSpare,
        UsingAll, ///< the last comparison showed no gain
    };

    void enter(Phase phase);
    void endMeasurement();
    double slowdown() const;

    std::uint32_t slots_ = 0;
    Phase phase_ = Phase::MeasuringAll;
    ServedWork served_; ///< in this phase, in windows in which requests waited
    double slowdownOfAll_ = 1.0;
};

} // namespace admission::details
