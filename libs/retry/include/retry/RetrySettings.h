#pragma once

#include <cstddef>
#include <cstdint>

#include <base/Millis.h>

namespace retry {

/** Limits on the retries of one daemon. */
struct RetrySettings
{
    base::Millis initialDelay_ = base::Millis(5); ///< doubles with each attempt, with full jitter
    base::Millis maxDelay_ = base::Millis(500);
    double initialTokens_ = 3; ///< retries of a customer and class before it has earned any
    double maxTokens_ = 100;
    std::size_t maxBuckets_ = 1024;         ///< pairs of customer and class tracked separately
    std::uint32_t maxOverloadRefusals_ = 2; ///< overload refusals after which a call is not retried

    /** Limit on attempts of a call after hand-backs; they start at once and are not charged. */
    std::uint32_t maxHandBacks_ = 0;

    /** Limit on free retries of a call after attempts that did not reach a backend server. */
    std::uint32_t maxUnreachedRetries_ = 0;

    /**
     * Limit on retries of a call after refusals by backend servers. As refusals did no work, these
     * retries are not charged to the chain's budget. 0: charged like all others.
     */
    std::uint32_t maxRefusalRetries_ = 0;

    /** False: no ratio is enforced here, as the daemon beside the backend server limits retries. */
    bool enforcesRatio_ = true;

    bool operator==(const RetrySettings &) const = default;
};

} // namespace retry
