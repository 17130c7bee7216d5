#pragma once

#include <cstdint>

#include <admission/LevelController.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <retry/RepeatKind.h>

namespace retry {

/**
 * Limits repeated arrivals at one backend server to a ratio of the first arrivals. The daemon
 * beside the server keeps it; the sum of these limits also bounds the whole service, however many
 * entries retry.
 *
 * When failed calls outnumber the permitted repeats, requests of the best priorities get all the
 * repeats they need and the others none, since a request that makes many calls fails with any one
 * of them. Reruns cost the most and get only a share of the budget. Calls of repeated runs are
 * counted but always admitted, since the run would be wasted without them; what they take beyond
 * the budget reduces later repeats. No I/O or clock.
 */
class ArrivalBudget
{
public:
    /** ratio: permitted repeats per first arrival. */
    explicit ArrivalBudget(double ratio)
        : ratio_(ratio)
    {}

    /** Records the first arrival of a request at the backend server. */
    void recordFirstArrival(base::Millis now);

    /** Spends budget on a repeat; false if it must be refused. */
    bool spend(RepeatKind kind, const admission::Priority &priority, base::Millis now);

    /** Number of repeats refused since the start. */
    std::uint64_t refused() const { return refused_; }

private:
    /** Lower bound of the cap on tokens, so that a server with few requests can get a repeat. */
    static constexpr double minTokenCap = 1;

    void closeWindows(base::Millis now);
    double tokenCap() const;

    double ratio_;
    double tokens_ = minTokenCap;
    double rerunTokens_ = minTokenCap; ///< for reruns, spent in addition to tokens_
    double recentTokens_ = 0;          ///< earned in about the last second; caps the tokens
    admission::LevelController level_;
    base::Millis windowEnd_;    ///< end of the current window of level_
    bool wasExhausted_ = false; ///< in the current window
    std::uint64_t refused_ = 0;
};

} // namespace retry
