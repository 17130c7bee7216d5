#pragma once

#include <compare>

#include <admission/Priority.h>

namespace admission {

/**
 * Worst priority that an instance still admits; sent with answers as the number value_.
 *
 * Consists of rank and bucket only: whether a request is in progress differs from hop to hop, and
 * a level is propagated to callers at other hops.
 */
struct Level
{
    int value_ = highest;

    static constexpr int highest = (Priority::lowestRank + 1) * Priority::bucketCount - 1;

    /** Admits every priority. */
    static constexpr Level all() { return {highest}; }

    /** Admits no priority. */
    static constexpr Level none() { return {-1}; }

    /** Level whose worst admitted root request has this priority. */
    static Level of(const Priority &priority);

    /** Converts a received number; clamps values out of range. */
    static Level fromNumber(long number);

    /** This level extended to all buckets of its rank. */
    Level wholeRank() const;

    /** Whether a request is admitted; in the boundary rank all requests in progress are. */
    bool admits(const Priority &priority) const;

    /** Whether the priority is within the level, regardless of inProgress_. */
    bool covers(const Priority &priority) const { return of(priority).value_ <= value_; }

    auto operator<=>(const Level &) const = default;
};

} // namespace admission
