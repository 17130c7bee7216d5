#pragma once

#include <cstdint>

namespace retry {

/** Whether backend servers may have seen a request before, or the run that makes it. */
enum class RepeatKind : std::uint8_t {
    First,
    AfterRefusal,  ///< a backend server said that it did not run the request
    Rerun,         ///< it may have run
    OfRepeatedRun, ///< made for the first time, by a run that was itself a repeat
};

} // namespace retry
