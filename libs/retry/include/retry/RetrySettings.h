#pragma once

#include <cstddef>
#include <cstdint>

#include <base/Millis.h>

namespace retry {

/** Limits of the retry decisions of one daemon. */
struct RetrySettings
{
    base::Millis firstDelay_ = base::Millis(5); ///< doubles with each attempt, with full jitter
    base::Millis maxDelay_ = base::Millis(500);
    double initialTokens_ = 3; ///< retries of a customer and class before its first calls count
    double maxTokens_ = 100;
    std::size_t maxBuckets_ = 1024;   ///< customer and class pairs told apart
    std::uint32_t maxOverloaded_ = 2; ///< refusals after which a call is not retried any more

    /** Further attempts of a call that are not paid for, as those before reached no backend server.
     */
    std::uint32_t freeUnreached_ = 0;

    /**
     * Further attempts of a call after refusals by backend servers, which did no work and are not
     * paid for by the budget of the chain. 0: paid for like all others.
     */
    std::uint32_t mostRefused_ = 0;

    /** False: retries have no ratio here, as the daemon beside the backend server bounds them. */
    bool hasRatio_ = true;

    bool operator==(const RetrySettings &) const = default;
};

} // namespace retry
