#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <membership/Timing.h>
#include <model/Address.h>
#include <model/Member.h>

namespace gossip {

/** Settings of a GossipService. */
struct Options
{
    /** controlAddress_ is bound for UDP; generation_ 0: use the wall clock at start. */
    model::Member self_;
    std::vector<model::Address> seeds_; ///< control addresses of other daemons
    std::string clusterSecret_;         ///< empty: datagrams carry no MAC
    std::uint64_t randomSeed_ = 0;      ///< 0: derive from id and generation
    membership::Timing timing_;
};

} // namespace gossip
