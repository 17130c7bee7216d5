#include <details/ConcurrencyLimit.h>

#include <algorithm>
#include <utility>

namespace admission::details {

namespace {

constexpr double slowdownTolerated = 2.0;
constexpr double slowdownForGrowth = 1.5;
constexpr double shrinkOnShed = 0.9;
// A backend server that refuses with fewer running requests does so for another reason than load.
constexpr double leastOfSlotsOnShed = 0.5;
constexpr double trialStep = 0.7;
constexpr double growth = 0.05;
constexpr int shortestPause = 2;
constexpr int longestPause = 32;
// Judged are at least twice as many requests as may run, and enough for a steady mean.
constexpr std::size_t fewestJudged = 120;
// Running requests delay each other if service times change by this part of the limit's change.
constexpr double effectNeeded = 0.7;

} // namespace

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == slots_)
        return;
    if (slots_ == 0 || slots > slots_)
        limit_ = slots;
    slots_ = slots;
    limit_ = std::min<double>(limit_, slots);
    trial_ = Trial::None;
    spare_.setSlots(slots);
}

void ConcurrencyLimit::closeWindow(const Window &window)
{
    if (slots_ == 0)
        return;
    spare_.closeWindow(window.served_, window.wasBound_);
    round_.count_ += window.served_.count_;
    round_.measuredMillis_ += window.served_.measuredMillis_;
    round_.baselineMillis_ += window.served_.baselineMillis_;
    wasBound_ = wasBound_ || window.wasBound_;
    if (window.hasShed_) {
        const double least = std::max(1.0, leastOfSlotsOnShed * slots_);
        limit_ = std::max(std::min(limit_, least), limit_ * shrinkOnShed);
        trial_ = Trial::None;
        return;
    }
    if (round_.count_ >= std::max<std::size_t>(fewestJudged, 2 * value()))
        endRound();
    const bool isSlow = slowdown_ > slowdownForGrowth && window.wasBound_;
    if (trial_ == Trial::None && !isSlow && !window.isReportedFull_)
        grow();
}

void ConcurrencyLimit::endRound()
{
    slowdown_ = round_.measuredMillis_ / round_.baselineMillis_;
    round_ = {};
    const bool wasBound = std::exchange(wasBound_, false);
    if (trial_ == Trial::Settling) {
        trial_ = Trial::Judging;
        return;
    }
    if (trial_ == Trial::Judging)
        return judgeTrial();
    if (slowdown_ <= slowdownTolerated) {
        pauseLeft_ = 0;
        pause_ = shortestPause;
        triesLess_ = true;
    } else if (pauseLeft_ > 0) {
        --pauseLeft_;
    } else if (wasBound) {
        startTrial();
    }
}

void ConcurrencyLimit::startTrial()
{
    before_ = {limit_, slowdown_};
    if (limit_ >= slots_)
        triesLess_ = true;
    const double moved = triesLess_ ? limit_ * trialStep : limit_ / trialStep;
    limit_ = std::clamp<double>(moved, 1.0, slots_);
    trial_ = Trial::Settling;
}

void ConcurrencyLimit::judgeTrial()
{
    trial_ = Trial::None;
    const double limitChange = limit_ / before_.limit_ - 1.0;
    const double slowdownChange = slowdown_ / before_.slowdown_ - 1.0;
    const bool delayEachOther = triesLess_ ? slowdownChange < effectNeeded * limitChange
                                           : slowdownChange > effectNeeded * limitChange;
    if (delayEachOther == triesLess_) {
        pause_ = shortestPause;
        return;
    }
    limit_ = before_.limit_;
    triesLess_ = !triesLess_;
    pauseLeft_ = pause_;
    pause_ = std::min(2 * pause_, longestPause);
}

void ConcurrencyLimit::grow()
{
    limit_ = std::min<double>(slots_, limit_ + std::max(1.0, limit_ * growth));
}

} // namespace admission::details
