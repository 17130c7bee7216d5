#pragma once

#include <string>

#include <base/Millis.h>

namespace bench {

/** What an experiment must reach in the mode "full". */
struct Targets
{
    std::string goodputPhase_;       ///< phase in which the goodput is judged
    double goodputRatio_ = 0.95;     ///< of the smaller of offered load and capacity
    double protectedCapacity_ = 0.0; ///< protected requests a second that can be served
    std::string recoveryPhase_;      ///< phase that follows the surge
    base::Millis recovery_ = base::Millis(5000);

    bool operator==(const Targets &) const = default;
};

} // namespace bench
