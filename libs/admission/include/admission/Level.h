#pragma once

#include <compare>

#include <admission/Priority.h>

namespace admission {

/**
 * Worst priority that an instance still admits; rides on answers as the number value_.
 *
 * Made of rank and bucket only: whether a request is in progress differs from hop to hop, whereas
 * a level is passed on to callers at other hops.
 */
struct Level
{
    int value_ = highest;

    static constexpr int highest = (Priority::lowestRank + 1) * Priority::bucketCount - 1;

    /** Admits every priority. */
    static constexpr Level all() { return {highest}; }

    /** Admits no priority. */
    static constexpr Level none() { return {-1}; }

    /** Level at which the priority is the worst root admitted. */
    static Level of(const Priority &priority);

    /** From a number received; values out of range are moved to the nearest one. */
    static Level fromNumber(long number);

    /** Whole rank of this level, with all its buckets. */
    Level wholeRank() const;

    /** Whether a request is still admitted: requests in progress of the boundary rank are. */
    bool admits(const Priority &priority) const;

    /** Whether the priority is within the level, in progress or not. */
    bool covers(const Priority &priority) const { return of(priority).value_ <= value_; }

    auto operator<=>(const Level &) const = default;
};

} // namespace admission
