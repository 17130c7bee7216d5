#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace admission {

/** Parameters of the admission decision. */
struct Options
{
    std::size_t queuePerSlot_ = 4;                  ///< queue capacity per slot, for few slots
    base::Millis window_ = base::Millis(100);       ///< measurements are evaluated once per window
    base::Millis maxQueueDelay_ = base::Millis(20); ///< a longer mean delay means overload
    base::Millis rankRetention_ = base::Millis(2000); ///< how long an arrival reserves headroom
    double headroom_ = 0.1; ///< share of the limit kept free for recently seen better ranks

    bool operator==(const Options &) const = default;
};

} // namespace admission
