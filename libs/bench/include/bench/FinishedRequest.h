#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace bench {

/** Final outcome of a logical request at the load generator, after its last attempt. */
enum class RequestOutcome : std::uint8_t {
    Complete, ///< matching answer without error status, before the deadline
    Late,     ///< matching answer without error status, after the deadline
    Failed,   ///< outcome "complete" with an error status
    NotRun,   ///< reported as not run, or never sent
    Unknown,  ///< may have run
    Wrong,    ///< truncated, for another request, or without a known outcome
};

/** One logical request with all its attempts. Times are on the generator's monotonic clock. */
struct FinishedRequest
{
    std::size_t classIndex_ = 0; ///< index into RequestMix
    std::string id_;
    base::Millis arrivedAt_;
    base::Millis endedAt_;
    RequestOutcome outcome_ = RequestOutcome::Unknown;
    std::uint32_t attempts_ = 0;

    bool operator==(const FinishedRequest &) const = default;
};

} // namespace bench
