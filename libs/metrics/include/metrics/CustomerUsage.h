#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace metrics {

/** What a customer got from this daemon; "other" sums the customers without metrics of their own.
 */
struct CustomerUsage
{
    std::string customer_;
    std::uint64_t completeCount_ = 0;               ///< requests answered whole
    std::uint64_t sentCount_ = 0;                   ///< requests sent to an instance
    double requestsPerSecond_ = 0;                  ///< in the last tens of seconds; 0 for "other"
    std::map<std::string, std::uint64_t> failures_; ///< requests not run or unknown, by reason

    bool operator==(const CustomerUsage &) const = default;
};

} // namespace metrics
