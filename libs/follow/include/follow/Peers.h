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
    std::vector<model::Address> fallback_;     ///< asked in turn while the evidence is old

    bool operator==(const Peers &) const = default;
};

/**
 * Order in which to ask daemons of the own and of other data centres: in turn, as the log may
 * refuse a whole data centre.
 */
std::vector<model::Address> alternating(const std::vector<model::Address> &near,
                                        const std::vector<model::Address> &far);

} // namespace follow
