#pragma once

#include <cstdint>

#include <admission/Level.h>

namespace retry {

/** Repeats at one backend server, for metrics. */
struct RepeatStatus
{
    admission::Level coveredLevel_; ///< worst priority that gets all the repeats it needs
    std::uint64_t granted_ = 0;     ///< since the start
    std::uint64_t refused_ = 0;     ///< since the start

    bool operator==(const RepeatStatus &) const = default;
};

} // namespace retry
