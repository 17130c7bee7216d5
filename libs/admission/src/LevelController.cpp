#include <admission/LevelController.h>

#include <algorithm>

namespace admission {

namespace {

// Counts of earlier windows fade, so that a level rests on the last few windows.
constexpr double windowDecay = 0.7;
// While overloaded a little less is admitted than was started, so that the queue drains.
constexpr double drainMargin = 0.95;

} // namespace

void LevelController::noteArrived(const Priority &priority)
{
    arrived_[Level::of(priority).value_] += 1.0;
}

void LevelController::noteStarted()
{
    started_ += 1.0;
}

void LevelController::noteShed(const Priority &priority)
{
    hasShed_ = true;
    level_ = std::min(level_, Level::fromNumber(Level::of(priority).value_ - 1));
}

Level LevelController::levelForCapacity() const
{
    const double capacity = started_ * drainMargin;
    double sum = 0.0;
    for (int value = 0; value <= Level::highest; ++value) {
        sum += arrived_[value];
        if (sum > capacity)
            return {value};
    }
    return Level::all();
}

void LevelController::closeWindow(bool isLate)
{
    if (hasShed_ || isLate) {
        level_ = std::min(level_, levelForCapacity());
        step_ = smallestStep;
    } else {
        level_ = Level::fromNumber(level_.value_ + step_);
        step_ = std::min(2 * step_, largestStep);
    }
    hasShed_ = false;
    started_ *= windowDecay;
    for (double &count : arrived_)
        count *= windowDecay;
}

} // namespace admission
