#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <bench/FinishedRequest.h>

namespace bench {

/** What backend servers really ran, held against what callers were told. */
struct RunAudit
{
    std::uint64_t requestsRun_ = 0;      ///< distinct requests that must run at most once, and ran
    std::uint64_t extraRuns_ = 0;        ///< runs beyond the first of a request
    std::uint64_t ranButToldNotRun_ = 0; ///< requests that ran although all answers denied it
    std::uint64_t completeNotRun_ = 0;   ///< requests told complete of which no run is known
    std::uint64_t unreadInstances_ = 0;  ///< backend servers whose runs are not in the audit

    /** Compares the runs of all instances, by request, with the finished requests. */
    static RunAudit of(const std::map<std::string, std::uint32_t> &runs,
                       const std::vector<FinishedRequest> &requests,
                       const std::vector<bool> &kindIsIdempotent);

    bool operator==(const RunAudit &) const = default;
};

} // namespace bench
