#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>

namespace admission::details {

/** Index of a request class in ServiceTimes; 0 is shared by all classes beyond maxClasses. */
using ClassIndex = std::size_t;

/** Requests served in an interval: total measured and total baseline service times. */
struct ServedWork
{
    std::size_t count_ = 0;
    double measuredMillis_ = 0.0;
    double baselineMillis_ = 0.0;
};

/** Service time of each request class: a moving average and a slowly adapting baseline. */
class ServiceTimes
{
public:
    ServiceTimes();

    /** Index of a class; adds new classes up to maxClasses. */
    ClassIndex indexOf(std::string_view name);

    /** Expected service time of a request of the class; 0 before the first sample. */
    base::Millis expected(ClassIndex index) const;

    /** Records the service time of a request that ran to its end. */
    void recordCompletion(ClassIndex index, base::Millis serviceTime);

    /** Records a request that was ended early: the elapsed time is a lower bound. */
    void recordCancellation(ClassIndex index, base::Millis elapsed);

    /** Adapts to the number of requests that may run at once. */
    void setSlots(std::uint32_t slots) { slots_ = slots; }

    /** Ends a window and returns its service times; baselines rise only if canBaselineRise. */
    ServedWork closeWindow(bool canBaselineRise);

    static constexpr std::size_t maxClasses = 256;

private:
    struct State
    {
        double expectedMillis_ = 0.0;
        double baselineMillis_ = 0.0;
        double sumMillis_ = 0.0; ///< since the last update of the baseline
        double sumOfSquares_ = 0.0;
        std::size_t count_ = 0;
        std::size_t completions_ = 0; ///< until the baseline is known
        bool isSampled_ = false;      ///< in the current window
    };

    static void updateBaseline(State &state, bool canRise);

    std::map<std::string, ClassIndex, std::less<>> indexes_;
    std::vector<State> states_;
    std::uint32_t slots_ = 0;
    ServedWork window_;
};

} // namespace admission::details
