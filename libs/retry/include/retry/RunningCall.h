#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <retry/ChainBudget.h>

namespace retry {

/** A call that the backend server is working on; its own calls inherit from it. */
struct RunningCall
{
    std::uint64_t requestHash_ = 0; ///< the same for all calls of one root request
    std::uint32_t priority_ = 0;    ///< as admission has it; not interpreted here
    std::string customer_;
    base::Millis deadline_;
    ChainBudget budget_;
    std::uint32_t depth_ = 0; ///< 0 for the root request
    bool isRepeat_ = false; ///< a backend server may have seen it, or its own caller's run, before

    bool operator==(const RunningCall &) const = default;
};

} // namespace retry
