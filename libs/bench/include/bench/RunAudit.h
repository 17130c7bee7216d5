#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <bench/FinishedRequest.h>

namespace bench {

/** Runs recorded by backend servers, compared with the outcomes reported to callers. */
struct RunAudit
{
    std::uint64_t requestsRun_ = 0;          ///< distinct at-most-once requests that ran
    std::uint64_t duplicateRuns_ = 0;        ///< runs after the first of a request
    std::uint64_t ranButReportedNotRun_ = 0; ///< requests that ran but ended as NotRun
    std::uint64_t completeWithoutRun_ = 0;   ///< requests reported complete without a recorded run
    std::uint64_t unreadInstances_ = 0;      ///< backend servers whose runs could not be read

    /** Compares run counts of all instances, by request id, with the finished requests. */
    static RunAudit of(const std::map<std::string, std::uint32_t> &runs,
                       const std::vector<FinishedRequest> &requests,
                       const std::vector<bool> &isIdempotentByClass);

    bool operator==(const RunAudit &) const = default;
};

} // namespace bench
