#pragma once

#include <cstdint>
#include <vector>

#include <membership/Timing.h>
#include <model/Address.h>
#include <model/Member.h>

namespace membership {

/** Initial state and settings of a Core. */
struct Options
{
    model::Member self_;
    std::vector<model::Address> seeds_; ///< control addresses; may include this daemon's own
    std::uint64_t randomSeed_ = 0;
    Timing timing_;
};

} // namespace membership
