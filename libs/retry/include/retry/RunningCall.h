#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <retry/ChainBudget.h>

namespace retry {

/** A call in progress at the backend server; calls made by it inherit from it. */
struct RunningCall
{
    std::uint64_t requestHash_ = 0; ///< the same for all calls of one root request
    std::uint32_t priority_ = 0;    ///< priority as packed by admission; not interpreted here
    std::string customer_;
    base::Millis deadline_;
    ChainBudget budget_;
    std::uint32_t depth_ = 0;          ///< 0 for the root request
    std::uint32_t completedCalls_ = 0; ///< of the root request before and in this call, if counted
    bool hasMadeCalls_ = false;
    bool isRepeat_ = false; ///< a backend server may have received it, or its caller's run, before

    bool operator==(const RunningCall &) const = default;
};

} // namespace retry
