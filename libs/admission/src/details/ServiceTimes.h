#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>

namespace admission::details {

/** Position of a request class in ServiceTimes; 0 stands for all classes beyond the bound. */
using ClassIndex = std::size_t;

/** Requests served in some time, with the service times that their baselines would give. */
struct ServedWork
{
    std::size_t count_ = 0;
    double measuredMillis_ = 0.0;
    double baselineMillis_ = 0.0;
};

/** Service time of each request class: the present mean, and a baseline that moves slowly. */
class ServiceTimes
{
public:
    ServiceTimes();

    /** Index of a class; learns new names up to maxClasses. */
    ClassIndex indexOf(std::string_view name);

    /** Time that a request of the class takes at present; 0 while nothing is known. */
    base::Millis expected(ClassIndex index) const;

    /** Notes a request that ran to its end. */
    void noteServed(ClassIndex index, base::Millis serviceTime);

    /** Notes a request that was ended early: it would have taken longer. */
    void noteCutShort(ClassIndex index, base::Millis elapsed);

    /** Ends a window and returns its service times; the baseline rises only if told so. */
    ServedWork closeWindow(bool mayBaselineRise);

    static constexpr std::size_t maxClasses = 256;

private:
    struct State
    {
        double expectedMillis_ = 0.0;
        double baselineMillis_ = 0.0;
        double sumMillis_ = 0.0; ///< since the baseline was last moved
        std::size_t count_ = 0;
        bool isSampled_ = false; ///< in this window
    };

    static void moveBaseline(State &state, bool mayRise);

    std::map<std::string, ClassIndex, std::less<>> indexes_;
    std::vector<State> states_;
    ServedWork window_;
};

} // namespace admission::details
