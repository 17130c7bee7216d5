#pragma once

#include <cstdint>
#include <string>

namespace once {

/** One process lifetime of one daemon. */
struct Incarnation
{
    std::string id_;               ///< unique name of the daemon
    std::uint64_t generation_ = 0; ///< increases with each process of the daemon

    auto operator<=>(const Incarnation &) const = default;
};

} // namespace once
