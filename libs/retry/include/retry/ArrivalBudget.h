#pragma once

#include <cstdint>

#include <admission/LevelController.h>
#include <admission/Priority.h>
#include <base/Millis.h>

namespace retry {

/**
 * Bounds the arrivals at one backend server beyond the first of each request, by a ratio of the
 * first ones. Kept by the daemon beside the server, it holds for the service as well, as a sum of
 * such bounds, however many entries repeat.
 *
 * For loads under which many calls fail and there are fewer repeats than calls to be saved:
 * requests of the best priorities get as many as they need and the others none, since a request
 * that makes many calls fails by a single one. No I/O or clock.
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
    bool spend(const admission::Priority &priority, base::Millis now);

    /** Repeats that were not paid for since the start. */
    std::uint64_t refused() const { return refused_; }

private:
    /** Saved up at least, so that a server with few requests can be tried again at all. */
    static constexpr double leastSaved = 1;

    void closeWindows(base::Millis now);

    double ratio_;
    double tokens_ = leastSaved;
    double earnedLately_ = 0; ///< in about a second; more is not saved up
    admission::LevelController level_;
    base::Millis windowEnd_; ///< of the level
    bool wasShort_ = false;  ///< in this window
    std::uint64_t refused_ = 0;
};

} // namespace retry
