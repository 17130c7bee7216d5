#pragma once

#include <cstdint>

namespace admission::details {

/**
 * Number of requests that may run at once: at most the slots, less while fewer serve better.
 *
 * Shrinks when the backend server sheds, and on trial when requests take far longer than their
 * baseline. A trial that does not make them faster is undone: then it is not this instance that
 * is too busy, but something that it waits for.
 */
class ConcurrencyLimit
{
public:
    void setSlots(std::uint32_t slots);

    std::uint32_t value() const { return static_cast<std::uint32_t>(limit_); }

    /** What was measured in one window. */
    struct Window
    {
        double slowdown_ = 0.0; ///< service time over its baseline; 0: nothing served
        bool hasShed_ = false;  ///< the backend server refused a request
        bool wasBound_ = false; ///< the limit was reached
        bool isReportedFull_ = false;
    };

    /** Adapts to one window; returns whether the present service times are to be the baseline. */
    bool closeWindow(const Window &window);

private:
    bool judgeTrial(double slowdown);
    void grow();

    std::uint32_t slots_ = 0;
    double limit_ = 0.0;
    double limitBeforeTrial_ = 0.0;
    double slowdownBeforeTrial_ = 0.0;
    int trialWindowsLeft_ = 0;
};

} // namespace admission::details
