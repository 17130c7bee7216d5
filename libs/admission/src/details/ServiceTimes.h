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

    /**
     * Ends a window. Returns how many times the baseline the served requests took on average,
     * or 0 when none was served.
     */
    double closeWindow();

    /** Takes the present means as the baseline. */
    void acceptPresentAsBaseline();

    static constexpr std::size_t maxClasses = 256;

private:
    struct State
    {
        double expectedMillis_ = 0.0;
        double baselineMillis_ = 0.0;
        double windowSumMillis_ = 0.0;
        std::size_t windowCount_ = 0;
        bool windowSampled_ = false;
    };

    std::map<std::string, ClassIndex, std::less<>> indexes_;
    std::vector<State> states_;
};

} // namespace admission::details
