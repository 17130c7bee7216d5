#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <base/Millis.h>
#include <routing/WaitCounts.h>

namespace routing {

/** How even the load was, as far as this daemon could see; counts since the start. */
struct LoadCounters
{
    std::uint64_t choices_ = 0;               ///< by reported load
    std::uint64_t choicesWithReport_ = 0;     ///< the selected instance had reported its load
    base::Millis reportAges_;                 ///< total age of the reports of selected instances
    std::uint64_t handedBack_ = 0;            ///< calls that an instance handed back
    std::map<std::string, WaitCounts> waits_; ///< by service

    bool operator==(const LoadCounters &) const = default;
};

} // namespace routing
