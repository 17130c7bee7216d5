#pragma once

#include <cstdint>

namespace routing {

/** How calls of one service began at the instances; calls that were handed back do not count. */
struct WaitCounts
{
    std::uint64_t calls_ = 0;  ///< answered by an instance
    std::uint64_t waited_ = 0; ///< waited for a slot or were shed
    /** Of these, calls during whose selection another instance was expected to have a free slot. */
    std::uint64_t uneven_ = 0;

    bool operator==(const WaitCounts &) const = default;
};

} // namespace routing
