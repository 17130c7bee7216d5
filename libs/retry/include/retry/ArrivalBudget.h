#pragma once

#include <cstdint>

#include <admission/LevelController.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <retry/RepeatKind.h>

namespace retry {

/**
 * Bounds the arrivals at one backend server beyond the first of each request, by a ratio of the
 * first ones. Kept by the daemon beside the server, it holds for the service as well, as a sum of
 * such bounds, however many entries repeat.
 *
 * For loads under which many calls fail and there are fewer repeats than calls to be saved:
 * requests of the best priorities get as many as they need and the others none, since a request
 * that makes many calls fails by a single one. Runs that are repeated whole cost the most and get a
 * part only. Calls of repeated runs are counted and let pass, since the run would be wasted without
 * them; what they take beyond the budget is missing to others later. No I/O or clock.
 */
class ArrivalBudget
{
public:
    /** Repeats for each first arrival. */
    explicit ArrivalBudget(double ratio)
        : ratio_(ratio)
    {}

    /** A request goes to the backend server for the first time. */
    void noteFirst(base::Millis now);

    /** Pays for a repeat; false if it must not arrive. */
    bool spend(RepeatKind kind, const admission::Priority &priority, base::Millis now);

    /** Repeats that were not paid for since the start. */
    std::uint64_t refused() const { return refused_; }

private:
    /** Saved up at least, so that a server with few requests can be tried again at all. */
    static constexpr double leastSaved = 1;

    void closeWindows(base::Millis now);
    double mostSaved() const;

    double ratio_;
    double tokens_ = leastSaved;
    double rerunTokens_ = leastSaved; ///< for runs that are repeated whole, besides tokens_
    double earnedLately_ = 0;         ///< in about a second; more is not saved up
    admission::LevelController level_;
    base::Millis windowEnd_; ///< of the level
    bool wasShort_ = false;  ///< in this window
    std::uint64_t refused_ = 0;
};

} // namespace retry
