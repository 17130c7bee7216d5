#include <retry/RepeatLevel.h>

namespace retry {

namespace {

using admission::Level;

/** Fill from which on all repeats are granted. */
constexpr double plentifulFill = 0.5;

/** Decay factor per window of 100 ms, so that the demand covers about a second. */
constexpr double windowDecay = 0.9;

/** Demand below which there is nothing to choose from. */
constexpr double minDemand = 3;

/** Demand that is not worth a further decay. */
constexpr double negligibleDemand = 0.01;

} // namespace

void RepeatLevel::recordDemand(const admission::Priority &priority)
{
    demand_[Level::of(priority).value_] += 1;
    totalDemand_ += 1;
}

Level RepeatLevel::levelForShare(double share) const
{
    const double granted = share * totalDemand_;
    double sum = 0;
    for (int value = 0; value <= Level::highest; ++value) {
        sum += demand_[value];
        if (sum > granted)
            return {value - 1};
    }
    return Level::all();
}

void RepeatLevel::closeWindow(double fill)
{
    const bool isPlentiful = fill >= plentifulFill || totalDemand_ < minDemand;
    level_ = isPlentiful ? Level::all() : levelForShare(fill / plentifulFill);
    if (totalDemand_ < negligibleDemand)
        return;
    totalDemand_ *= windowDecay;
    for (double &count : demand_)
        count *= windowDecay;
}

} // namespace retry
