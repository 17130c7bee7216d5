#include <retry/ArrivalBudget.h>

#include <algorithm>
#include <utility>

namespace retry {

namespace {

/** The level is judged as often as that of admission. */
constexpr base::Millis window(100);

/** What is left of a count after a window, so that it covers about ten of them. */
constexpr double windowDecay = 0.9;

/** Part of the budget that repeats whole runs; each of them repeats its calls as well. */
constexpr double shareOfReruns = 0.25;

/** Windows without an event after which all of them count as one. */
constexpr int mostWindowsAtOnce = 64;

} // namespace

double ArrivalBudget::mostSaved() const
{
    return std::max(leastSaved, earnedLately_);
}

void ArrivalBudget::noteFirst(base::Millis now)
{
    closeWindows(now);
    earnedLately_ += ratio_;
    tokens_ = std::min(mostSaved(), tokens_ + ratio_);
    rerunTokens_ = std::min(mostSaved(), rerunTokens_ + ratio_ * shareOfReruns);
}

bool ArrivalBudget::spend(RepeatKind kind, const admission::Priority &priority, base::Millis now)
{
    closeWindows(now);
    if (kind == RepeatKind::OfRepeatedRun) {
        tokens_ = std::max(-mostSaved(), tokens_ - 1);
        return true;
    }
    level_.noteArrived(priority);
    const bool isCovered = level_.level().covers(priority);
    const bool isRerun = kind == RepeatKind::Rerun;
    if (isCovered && tokens_ >= 1 && (!isRerun || rerunTokens_ >= 1)) {
        tokens_ -= 1;
        if (isRerun)
            rerunTokens_ -= 1;
        level_.noteStarted();
        return true;
    }
    wasShort_ = wasShort_ || (isCovered && tokens_ < 1);
    ++refused_;
    return false;
}

void ArrivalBudget::closeWindows(base::Millis now)
{
    if (windowEnd_ == base::Millis())
        windowEnd_ = now + window;
    for (int i = 0; i < mostWindowsAtOnce && now >= windowEnd_; ++i) {
        level_.closeWindow(std::exchange(wasShort_, false));
        windowEnd_ = windowEnd_ + window;
        earnedLately_ *= windowDecay;
    }
    if (now >= windowEnd_)
        windowEnd_ = now + window;
}

} // namespace retry
