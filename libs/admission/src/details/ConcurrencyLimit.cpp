#include <details/ConcurrencyLimit.h>

#include <algorithm>
#include <utility>

namespace admission::details {

namespace {

constexpr double minSlowdownForTrial = 2.0;
constexpr double maxSlowdownForGrowth = 1.5;
constexpr double shedLimitFactor = 0.9;
// A backend server that refuses requests while fewer of its slots are in use is not overloaded, but
// refuses them for another reason.
constexpr double minSlotShareOnShed = 0.5;
constexpr double trialLimitFactor = 0.7;
constexpr double growthShare = 0.05;
constexpr int minTrialPauseRounds = 2;
constexpr int maxTrialPauseRounds = 32;
// A round covers at least this many requests for a stable mean, and at least twice the limit.
constexpr std::size_t minRequestsPerRound = 120;
// Running requests contend if the relative change of service times is at least this share of the
// relative change of the limit.
constexpr double minRelativeEffect = 0.7;

} // namespace

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == slots_)
        return;
    if (slots_ == 0 || slots > slots_)
        limit_ = slots;
    slots_ = slots;
    limit_ = std::min<double>(limit_, slots);
    trialPhase_ = TrialPhase::None;
    spareSlots_.setSlots(slots);
}

void ConcurrencyLimit::closeWindow(const Window &window)
{
    if (slots_ == 0)
        return;
    spareSlots_.closeWindow(window.served_, window.wasLimitReached_);
    round_.count_ += window.served_.count_;
    round_.measuredMillis_ += window.served_.measuredMillis_;
    round_.baselineMillis_ += window.served_.baselineMillis_;
    wasLimitReached_ = wasLimitReached_ || window.wasLimitReached_;
    if (window.hasShed_) {
        const double minLimit = std::max(1.0, minSlotShareOnShed * slots_);
        limit_ = std::max(std::min(limit_, minLimit), limit_ * shedLimitFactor);
        trialPhase_ = TrialPhase::None;
        return;
    }
    if (round_.count_ >= std::max<std::size_t>(minRequestsPerRound, 2 * value()))
        endRound();
    const bool isSlow = slowdown_ > maxSlowdownForGrowth && window.wasLimitReached_;
    if (trialPhase_ == TrialPhase::None && !isSlow && !window.isReportedFull_)
        grow();
}

void ConcurrencyLimit::endRound()
{
    slowdown_ = round_.measuredMillis_ / round_.baselineMillis_;
    round_ = {};
    const bool wasLimitReached = std::exchange(wasLimitReached_, false);
    if (trialPhase_ == TrialPhase::Settling) {
        trialPhase_ = TrialPhase::Measuring;
        return;
    }
    if (trialPhase_ == TrialPhase::Measuring)
        return endTrial();
    if (slowdown_ <= minSlowdownForTrial) {
        roundsUntilTrial_ = 0;
        trialPauseRounds_ = minTrialPauseRounds;
        isDecreaseTrial_ = true;
    } else if (roundsUntilTrial_ > 0) {
        --roundsUntilTrial_;
    } else if (wasLimitReached) {
        startTrial();
    }
}

void ConcurrencyLimit::startTrial()
{
    beforeTrial_ = {limit_, slowdown_};
    if (limit_ >= slots_)
        isDecreaseTrial_ = true;
    const double trialLimit =
            isDecreaseTrial_ ? limit_ * trialLimitFactor : limit_ / trialLimitFactor;
    limit_ = std::clamp<double>(trialLimit, 1.0, slots_);
    trialPhase_ = TrialPhase::Settling;
}

void ConcurrencyLimit::endTrial()
{
    trialPhase_ = TrialPhase::None;
    const double limitChange = limit_ / beforeTrial_.limit_ - 1.0;
    const double slowdownChange = slowdown_ / beforeTrial_.slowdown_ - 1.0;
    const bool isContended = isDecreaseTrial_ ? slowdownChange < minRelativeEffect * limitChange
                                              : slowdownChange > minRelativeEffect * limitChange;
    if (isContended == isDecreaseTrial_) {
        trialPauseRounds_ = minTrialPauseRounds;
        return;
    }
    limit_ = beforeTrial_.limit_;
    isDecreaseTrial_ = !isDecreaseTrial_;
    roundsUntilTrial_ = trialPauseRounds_;
    trialPauseRounds_ = std::min(2 * trialPauseRounds_, maxTrialPauseRounds);
}

void ConcurrencyLimit::grow()
{
    limit_ = std::min<double>(slots_, limit_ + std::max(1.0, limit_ * growthShare));
}

} // namespace admission::details
