#pragma once

#include <cstddef>
#include <cstdint>

#include <details/ServiceTimes.h>

namespace admission::details {

/**
 * Finds out whether a backend server serves more when a few of its slots stay free.
 *
 * Answers overload of a server that slows down when it is nearly full: with all slots busy it then
 * serves fewer requests than with 94 of 100. While requests wait, service times with all slots and
 * with some left free are compared, and the slots stay free for a while if that is faster by more
 * than they are worth.
 */
class SpareSlots
{
public:
    void setSlots(std::uint32_t slots);

    /** Requests that may run at once. */
    std::uint32_t usable() const;

    /** Takes what was served in one window; wasBound: requests waited for a slot. */
    void closeWindow(const ServedWork &served, bool wasBound);

private:
    enum class Phase : std::uint8_t {
        MeasuringAll,
        Settling, ///< slots were freed; requests started before still end
        MeasuringSpared,
        Keeping,
    };

    void enter(Phase phase);
    void endMeasurement();
    double slowdown() const;

    std::uint32_t slots_ = 0;
    Phase phase_ = Phase::MeasuringAll;
    ServedWork served_; ///< in this phase, while requests waited
    double slowdownOfAll_ = 1.0;
};

} // namespace admission::details
