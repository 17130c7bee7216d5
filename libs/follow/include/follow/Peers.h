#pragma once

#include <cstddef>
#include <vector>

#include <model/Address.h>

namespace follow {

/** The other daemons of the data centre, as far as they decide who reads. */
struct Peers
{
    std::vector<model::Address> higherRanked_; ///< read rather than this daemon; best first
    std::size_t members_ = 1;                  ///< of the data centre, including this daemon
    std::vector<model::Address> fallback_;     ///< asked when the evidence is old; may be empty

    bool operator==(const Peers &) const = default;
};

} // namespace follow
