#include <retry/ArrivalBudget.h>

#include <algorithm>

namespace retry {

namespace {

using admission::Level;
using admission::Priority;

/** Same window as that of the admission level, and the length of a slot of SlidingCount. */
constexpr base::Millis window(100);

/** Decay factor per window, so that a count covers about ten windows. */
constexpr double windowDecay = 0.9;

/** Share of the budget for reruns; each of them repeats its calls as well. */
constexpr double rerunShare = 0.25;

/**
 * Factor for the mean of two windows, which needs less of the margin in the ratio than the count of
 * one: it follows rising load late, and the platform counts the larger of both windows.
 */
constexpr double meanWeight = 1.2;

/** Limit on windows closed after an idle time, after which all counts are 0. */
constexpr int maxWindowsClosedAtOnce = 2 * SlidingCount::slotsPerWindow;

/** Numbers of completed calls that are told apart; those above count as the highest. */
constexpr int progressSteps = 4;

constexpr int bucketsPerStep = Priority::bucketCount / progressSteps;

/** Priority for repeats: within a rank, requests with more completed calls come first. */
Priority repeatPriority(const Priority &priority, std::uint32_t completedCalls)
{
    const auto step = static_cast<int>(std::min<std::uint32_t>(completedCalls, progressSteps - 1));
    return {.rank_ = priority.rank_,
            .bucket_ =
                    (progressSteps - 1 - step) * bucketsPerStep + priority.bucket_ / progressSteps};
}

} // namespace

/** Repeats that may be sent in a window of 10 s. */
double ArrivalBudget::allowance() const
{
    const auto inWindow = static_cast<double>(firstArrivals_.inWindow());
    if (!firstArrivals_.coversBothWindows())
        return ratio_ * inWindow;
    const auto inWindowBefore = static_cast<double>(firstArrivals_.inWindowBefore());
    return ratio_ * meanWeight * (inWindow + inWindowBefore) / 2;
}

double ArrivalBudget::tokenCap() const
{
    const double perSecond = allowance() / 10;
    return std::max({minTokenCap, recentTokens_, perSecond});
}

void ArrivalBudget::earn(double tokens)
{
    tokens_ = std::min(tokenCap(), tokens_ + tokens);
    rerunTokens_ = std::min(tokenCap(), rerunTokens_ + tokens * rerunShare);
}

void ArrivalBudget::recordFirstArrival(base::Millis now)
{
    closeWindows(now);
    firstArrivals_.add();
    recentTokens_ += ratio_;
    earn(ratio_);
}

/** Repeats that may be sent now. */
double ArrivalBudget::available() const
{
    const auto inWindow = static_cast<double>(repeats_.inWindow());
    return std::min(tokens_, std::max(minTokenCap, allowance()) - inWindow);
}

bool ArrivalBudget::spend(RepeatKind kind, const Priority &priority, std::uint32_t completedCalls,
                          base::Millis now)
{
    closeWindows(now);
    if (kind == RepeatKind::OfRepeatedRun) {
        ++granted_;
        repeats_.add();
        tokens_ = std::max(-tokenCap(), tokens_ - 1);
        return true;
    }
    const auto ordered = repeatPriority(priority, completedCalls);
    level_.recordDemand(ordered);
    const bool isRerun = kind == RepeatKind::Rerun;
    if (!level_.level().covers(ordered) || available() < 1 || (isRerun && rerunTokens_ < 1)) {
        ++refused_;
        return false;
    }
    ++granted_;
    repeats_.add();
    tokens_ -= 1;
    if (isRerun)
        rerunTokens_ -= 1;
    return true;
}

Level ArrivalBudget::coveredLevel() const
{
    const auto level = level_.level();
    if (level == Level::all())
        return level;
    const int rank = (level.value_ + 1) / Priority::bucketCount;
    const int covered = (level.value_ + 1) % Priority::bucketCount;
    const int coveredOfFirstCalls =
            std::max(0, covered - (progressSteps - 1) * bucketsPerStep) * progressSteps;
    return Level::fromNumber(rank * Priority::bucketCount + coveredOfFirstCalls - 1);
}

void ArrivalBudget::closeWindows(base::Millis now)
{
    if (windowEnd_ == base::Millis())
        windowEnd_ = now + window;
    for (int i = 0; i < maxWindowsClosedAtOnce && now >= windowEnd_; ++i) {
        closeWindow();
        windowEnd_ = windowEnd_ + window;
    }
    if (now >= windowEnd_)
        windowEnd_ = now + window;
}

void ArrivalBudget::closeWindow()
{
    level_.closeWindow(available() / tokenCap());
    recentTokens_ *= windowDecay;
    const double earned = ratio_ * firstArrivals_.current();
    earn(std::max(0.0, allowance() / SlidingCount::slotsPerWindow - earned));
    firstArrivals_.closeSlot();
    repeats_.closeSlot();
}

} // namespace retry
