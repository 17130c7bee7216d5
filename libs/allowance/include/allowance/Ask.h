#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <allowance/AskItem.h>

namespace allowance {

/** A daemon's request for tokens, to the allotter of a group of customers. */
struct Ask
{
    std::uint32_t group_ = 0;
    std::string daemon_;           ///< id
    std::uint64_t generation_ = 0; ///< of the daemon's process
    std::uint64_t number_ = 0;     ///< increases with each ask of this process for the group
    std::vector<AskItem> items_;

    bool operator==(const Ask &) const = default;
};

} // namespace allowance
