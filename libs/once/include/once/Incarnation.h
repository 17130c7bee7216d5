#pragma once

#include <cstdint>
#include <string>

namespace once {

/** One process lifetime of one daemon. */
struct Incarnation
{
    std::string id_;               ///< unique name of the daemon
    std::uint64_t generation_ = 0; ///< a later process of the same daemon has a higher one

    auto operator<=>(const Incarnation &) const = default;
};

} // namespace once
