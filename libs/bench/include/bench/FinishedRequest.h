#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace bench {

/** How a logical request ended for the load generator, after its last attempt. */
enum class RequestOutcome : std::uint8_t {
    Complete, ///< whole, its own, successful and before the deadline
    Late,     ///< whole and its own, but after the deadline
    Failed,   ///< a whole answer with an error status
    NotRun,   ///< stated not to have run
    Unknown,  ///< may have run
    Wrong,    ///< cut, of another request, or without a stated outcome
};

/** One logical request with all its attempts. Times are of the generator's monotonic clock. */
struct FinishedRequest
{
    std::size_t kind_ = 0; ///< index into the mix
    std::string id_;
    base::Millis arrivedAt_;
    base::Millis endedAt_;
    RequestOutcome outcome_ = RequestOutcome::Unknown;
    std::uint32_t attempts_ = 0;

    bool operator==(const FinishedRequest &) const = default;
};

} // namespace bench
