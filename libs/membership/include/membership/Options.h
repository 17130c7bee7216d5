#pragma once

#include <cstdint>
#include <vector>

#include <membership/Timing.h>
#include <model/Address.h>
#include <model/Member.h>

namespace membership {

/** What a Core starts from. */
struct Options
{
    model::Member self_;
    std::vector<model::Address> seeds_; ///< control addresses; the own one may be among them
    std::uint64_t randomSeed_ = 0;
    Timing timing_;
};

} // namespace membership
