#include <admission/LevelController.h>

#include <algorithm>

namespace admission {

namespace {

// Counts decay with each window, so that the level depends on the last few windows.
constexpr double windowDecay = 0.7;
// Under overload slightly less is admitted than was started, so that the queue drains.
constexpr double drainMargin = 0.95;

} // namespace

void LevelController::recordArrival(const Priority &priority)
{
    arrived_[Level::of(priority).value_] += 1.0;
}

void LevelController::recordStart()
{
    started_ += 1.0;
}

void LevelController::recordShed(const Priority &priority)
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

void LevelController::closeWindow(bool isOverloaded)
{
    if (hasShed_ || isOverloaded) {
        level_ = std::min(level_, levelForCapacity());
        recoveryStep_ = minRecoveryStep;
    } else {
        level_ = Level::fromNumber(level_.value_ + recoveryStep_);
        recoveryStep_ = std::min(2 * recoveryStep_, maxRecoveryStep);
    }
    hasShed_ = false;
    started_ *= windowDecay;
    for (double &count : arrived_)
        count *= windowDecay;
}

} // namespace admission
