#pragma once

#include <cstdint>

namespace retry {

/** Whether backend servers may have received a request, or the run that makes it, before. */
enum class RepeatKind : std::uint8_t {
    First,
    AfterRefusal,  ///< a backend server refused the request without running it
    Rerun,         ///< the request may have run
    OfRepeatedRun, ///< first call made by a run that is itself a repeat
    LeafRerun,     ///< Rerun of a class that makes no calls; known to the executor only, never sent
};

} // namespace retry
