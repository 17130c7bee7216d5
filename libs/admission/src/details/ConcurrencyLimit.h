#pragma once

#include <algorithm>
#include <cstdint>

#include <details/ServiceTimes.h>
#include <details/SpareSlots.h>

namespace admission::details {

/**
 * Number of requests that may run at once: at most the slots, less while fewer serve better.
 *
 * Shrinks when the backend server sheds. When requests take far longer than their baseline, the
 * limit is moved on trial; a trial that does not change service times accordingly is undone or
 * kept so that more requests run: then what is too busy is not this instance, but something that
 * it waits for.
 */
class ConcurrencyLimit
{
public:
    void setSlots(std::uint32_t slots);

    std::uint32_t value() const
    {
        return std::min(static_cast<std::uint32_t>(limit_), spare_.usable());
    }

    /** What was measured in one window. */
    struct Window
    {
        ServedWork served_;
        bool hasShed_ = false;  ///< the backend server refused a request
        bool wasBound_ = false; ///< the limit was reached
        bool isReportedFull_ = false;
    };

    /** Adapts to one window. */
    void closeWindow(const Window &window);

private:
    enum class Trial : std::uint8_t {
        None,     ///< the limit is not on trial
        Settling, ///< the limit was moved; requests started before still end
        Judging,  ///< service times under the new limit are measured
    };

    /** What a trial is compared with. */
    struct Before
    {
        double limit_ = 0.0;
        double slowdown_ = 0.0;
    };

    void endRound();
    void judgeTrial();
    void startTrial();
    void grow();

    std::uint32_t slots_ = 0;
    SpareSlots spare_;
    double limit_ = 0.0;
    double slowdown_ = 0.0; ///< service time over its baseline in the last round
    ServedWork round_;
    bool wasBound_ = false;

    Trial trial_ = Trial::None;
    Before before_; ///< limit and slowdown before the trial
    bool triesLess_ = true;
    int pause_ = 0;
    int pauseLeft_ = 0; ///< rounds until the next trial
};

} // namespace admission::details
