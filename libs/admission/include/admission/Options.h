#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace admission {

/** Parameters of the admission decision. */
struct Options
{
    std::size_t queuePerSlot_ = 4;              ///< waiting requests for each of a few slots
    base::Millis window_ = base::Millis(100);   ///< measurements are judged once a window
    base::Millis lateAfter_ = base::Millis(20); ///< queueing delay that means overload, unless
    ///< requests take longer than that to run
    base::Millis rankMemory_ = base::Millis(2000); ///< headroom is kept for ranks seen this lately
    double headroom_ = 0.1; ///< part of the limit kept for better ranks seen lately

    bool operator==(const Options &) const = default;
};

} // namespace admission
