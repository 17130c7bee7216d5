#pragma once

#include <cstdint>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <retry/RepeatKind.h>
#include <retry/RepeatLevel.h>
#include <retry/RepeatStatus.h>
#include <retry/SlidingCount.h>

namespace retry {

/**
 * Limits repeated arrivals at one backend server to a ratio of the first arrivals. The daemon
 * beside the server keeps it; the sum of these limits also bounds the whole service, however many
 * entries retry.
 *
 * The limit holds in each window of 10 s. The platform counts the first arrivals of that window or
 * of the one before, whichever are more; the budget takes their mean, which is never more when
 * summed over executors. Failing requests make fewer first calls, and would otherwise lose their
 * repeats when they need them.
 *
 * When failed calls outnumber the permitted repeats, requests of the best ranks get them, those
 * with most completed calls first, since they need the fewest to be completed. Among equals the
 * bucket decides, so that a request that gets one repeat also gets the next. Reruns of classes
 * that make calls cost the most and get only a share of the budget. Calls of repeated runs are
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

    /**
     * Spends budget on a repeat; false if it must be refused. completedCalls: number of calls that
     * the request has completed before this one.
     */
    bool spend(RepeatKind kind, const admission::Priority &priority, std::uint32_t completedCalls,
               base::Millis now);

    /** Worst priority whose requests get all the repeats that they need, from the first call on. */
    admission::Level coveredLevel() const;

    /** Closes the windows that have ended. */
    void closeWindows(base::Millis now);

    /** Number of repeats refused since the start. */
    std::uint64_t refused() const { return refused_; }

    /** Current level and counts. */
    RepeatStatus status() const { return {coveredLevel(), granted_, refused_}; }

private:
    /** Lower bound of the cap on tokens, so that a server with few requests can get a repeat. */
    static constexpr double minTokenCap = 1;

    void closeWindow();
    void earn(double tokens);
    double allowance() const;
    double tokenCap() const;
    double available() const;

    double ratio_;
    double tokens_ = minTokenCap;
    double rerunTokens_ = minTokenCap; ///< for reruns, spent in addition to tokens_
    double recentTokens_ = 0;          ///< earned in about the last second; caps the tokens
    SlidingCount firstArrivals_;
    SlidingCount repeats_;
    RepeatLevel level_;
    base::Millis windowEnd_; ///< end of the current window of level_ and of the counts
    std::uint64_t granted_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace retry
