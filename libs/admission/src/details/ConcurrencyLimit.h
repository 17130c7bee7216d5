#pragma once

#include <algorithm>
#include <cstdint>

#include <details/ServiceTimes.h>
#include <details/SpareSlots.h>

namespace admission::details {

/**
 * Adaptive concurrency limit: at most the slots, fewer where that gives higher throughput.
 *
 * Shrinks when the backend server sheds. When service times far exceed their baseline, the limit is
 * changed on trial. If service times do not follow, the bottleneck is not this instance but a
 * dependency of it, and the higher of the two limits is kept.
 */
class ConcurrencyLimit
{
public:
    void setSlots(std::uint32_t slots);

    std::uint32_t value() const
    {
        return std::min(static_cast<std::uint32_t>(limit_), spareSlots_.usable());
    }

    /** Measurements of one window. */
    struct Window
    {
        ServedWork served_;
        bool hasShed_ = false; ///< the backend server refused a request
        bool wasLimitReached_ = false;
        bool isReportedFull_ = false; ///< by the backend server's last load report
    };

    /** Adapts the limit to the measurements of one window. */
    void closeWindow(const Window &window);

private:
    enum class TrialPhase : std::uint8_t {
        None,      ///< no trial in progress
        Settling,  ///< the limit was changed; requests started before are still running
        Measuring, ///< measuring service times under the new limit
    };

    /** Values before a trial, which its result is compared with. */
    struct TrialReference
    {
        double limit_ = 0.0;
        double slowdown_ = 0.0;
    };

    void endRound();
    void endTrial();
    void startTrial();
    void grow();

    std::uint32_t slots_ = 0;
    SpareSlots spareSlots_;
    double limit_ = 0.0;
    double slowdown_ = 0.0; ///< ratio of service time to baseline in the last round
    ServedWork round_;
    bool wasLimitReached_ = false;

    TrialPhase trialPhase_ = TrialPhase::None;
    TrialReference beforeTrial_;
    bool isDecreaseTrial_ = true; ///< direction of the current or next trial
    int trialPauseRounds_ = 0;
    int roundsUntilTrial_ = 0;
};

} // namespace admission::details
