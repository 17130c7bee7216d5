#include <retry/ArrivalBudget.h>

#include <algorithm>
#include <utility>

namespace retry {

namespace {

/** Same window as that of the admission level. */
constexpr base::Millis window(100);

/** Decay factor per window, so that a count covers about ten windows. */
constexpr double windowDecay = 0.9;

/** Share of the budget for reruns; each of them repeats its calls as well. */
constexpr double rerunShare = 0.25;

/** Limit on windows closed after an idle time; any further ones are skipped. */
constexpr int maxWindowsClosedAtOnce = 64;

} // namespace

double ArrivalBudget::tokenCap() const
{
    return std::max(minTokenCap, recentTokens_);
}

void ArrivalBudget::recordFirstArrival(base::Millis now)
{
    closeWindows(now);
    recentTokens_ += ratio_;
    tokens_ = std::min(tokenCap(), tokens_ + ratio_);
    rerunTokens_ = std::min(tokenCap(), rerunTokens_ + ratio_ * rerunShare);
}

bool ArrivalBudget::spend(RepeatKind kind, const admission::Priority &priority, base::Millis now)
{
    closeWindows(now);
    if (kind == RepeatKind::OfRepeatedRun) {
        tokens_ = std::max(-tokenCap(), tokens_ - 1);
        return true;
    }
    level_.recordArrival(priority);
    const bool isCovered = level_.level().covers(priority);
    const bool isRerun = kind == RepeatKind::Rerun;
    if (isCovered && tokens_ >= 1 && (!isRerun || rerunTokens_ >= 1)) {
        tokens_ -= 1;
        if (isRerun)
            rerunTokens_ -= 1;
        level_.recordStart();
        return true;
    }
    wasExhausted_ = wasExhausted_ || (isCovered && tokens_ < 1);
    ++refused_;
    return false;
}

void ArrivalBudget::closeWindows(base::Millis now)
{
    if (windowEnd_ == base::Millis())
        windowEnd_ = now + window;
    for (int i = 0; i < maxWindowsClosedAtOnce && now >= windowEnd_; ++i) {
        level_.closeWindow(std::exchange(wasExhausted_, false));
        windowEnd_ = windowEnd_ + window;
        recentTokens_ *= windowDecay;
    }
    if (now >= windowEnd_)
        windowEnd_ = now + window;
}

} // namespace retry
