#pragma once

#include <array>

#include <admission/Level.h>
#include <admission/Priority.h>

namespace retry {

/**
 * Level down to which repeats are granted, from the fill of the token bucket that pays for them.
 *
 * The emptier the bucket, the smaller the share of the recent demand that is granted, best
 * priorities first. The bucket settles where as much is granted as is earned, so that the level
 * does not swing: a request can only be completed by repeats that it gets for all of its calls.
 */
class RepeatLevel
{
public:
    admission::Level level() const { return level_; }

    /** Records a repeat that was asked for. */
    void recordDemand(const admission::Priority &priority);

    /** Ends a window; fill: tokens in the bucket as a share of what it holds, negative in debt. */
    void closeWindow(double fill);

private:
    admission::Level levelForShare(double share) const;

    admission::Level level_ = admission::Level::all();
    std::array<double, admission::Level::highest + 1> demand_ = {};
    double totalDemand_ = 0;
};

} // namespace retry
