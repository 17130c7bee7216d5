#include <details/ConcurrencyLimit.h>

#include <algorithm>

namespace admission::details {

namespace {

constexpr double slowdownTolerated = 2.0;
constexpr double shrinkOnShed = 0.9;
constexpr double shrinkOnTrial = 0.8;
constexpr double growth = 0.05;
constexpr int trialWindows = 5;
// A trial succeeds when service times fall by at least this part of what the limit fell.
constexpr double effectNeeded = 0.5;

} // namespace

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots_ == 0 || slots == 0 || slots > slots_)
        limit_ = slots;
    slots_ = slots;
    limit_ = std::min<double>(limit_, slots);
    trialWindowsLeft_ = 0;
}

bool ConcurrencyLimit::closeWindow(const Window &window)
{
    if (slots_ == 0)
        return false;
    if (window.hasShed_) {
        limit_ = std::max(1.0, limit_ * shrinkOnShed);
        trialWindowsLeft_ = 0;
        return false;
    }
    if (trialWindowsLeft_ > 0) {
        --trialWindowsLeft_;
        return trialWindowsLeft_ == 0 && judgeTrial(window.slowdown_);
    }
    if (window.slowdown_ > slowdownTolerated && window.wasBound_ && limit_ > 1.0) {
        limitBeforeTrial_ = limit_;
        slowdownBeforeTrial_ = window.slowdown_;
        limit_ = std::max(1.0, limit_ * shrinkOnTrial);
        trialWindowsLeft_ = trialWindows;
        return false;
    }
    if (!window.isReportedFull_)
        grow();
    return false;
}

bool ConcurrencyLimit::judgeTrial(double slowdown)
{
    const double shrunkBy = 1.0 - limit_ / limitBeforeTrial_;
    const bool isFaster = slowdown < slowdownBeforeTrial_ * (1.0 - effectNeeded * shrunkBy);
    if (isFaster)
        return false;
    limit_ = limitBeforeTrial_;
    return true;
}

void ConcurrencyLimit::grow()
{
    limit_ = std::min<double>(slots_, limit_ + std::max(1.0, limit_ * growth));
}

} // namespace admission::details
