#include <details/RatioBudgets.h>

#include <algorithm>
#include <utility>

namespace retry::details {

namespace {

/** The level of repeated refusals is judged as often as that of admission. */
constexpr base::Millis window(100);

/** What is left of a count after a window, so that it covers about ten of them. */
constexpr double windowDecay = 0.9;

/** Windows without an event after which all of them count as one. */
constexpr int mostWindowsAtOnce = 64;

void closeWindows(RatioBudget &budget, base::Millis now)
{
    if (budget.windowEnd_ == base::Millis())
        budget.windowEnd_ = now + window;
    for (int i = 0; i < mostWindowsAtOnce && now >= budget.windowEnd_; ++i) {
        budget.refusedLevel_.closeWindow(std::exchange(budget.wasShort_, false));
        budget.windowEnd_ = budget.windowEnd_ + window;
        budget.earnedLately_ *= windowDecay;
    }
    if (now >= budget.windowEnd_)
        budget.windowEnd_ = now + window;
}

} // namespace

RatioBudgets::RatioBudgets(const RetrySettings &settings)
    : settings_(settings)
    , rest_{.tokens_ = settings.initialTokens_, .refusedTokens_ = settings.initialTokens_}
{}

RatioBudget &RatioBudgets::of(const std::string &customer, const std::string &requestClass)
{
    const auto name = std::to_string(customer.size()) + ':' + customer + requestClass;
    if (const auto found = budgets_.find(name); found != budgets_.end())
        return found->second;
    if (budgets_.size() >= settings_.maxBuckets_)
        return rest_;
    return budgets_
            .emplace(name, RatioBudget{.tokens_ = settings_.initialTokens_,
                                       .refusedTokens_ = settings_.initialTokens_})
            .first->second;
}

void RatioBudgets::earn(RatioBudget &budget, double ratio, double refusedRatio,
                        base::Millis now) const
{
    closeWindows(budget, now);
    budget.earnedLately_ += refusedRatio;
    budget.tokens_ = std::min(settings_.maxTokens_, budget.tokens_ + ratio);
    budget.refusedTokens_ = std::min(std::max(settings_.maxTokens_, budget.earnedLately_),
                                     budget.refusedTokens_ + refusedRatio);
}

bool RatioBudgets::spendOnRefusal(RatioBudget &budget, const admission::Priority &priority,
                                  base::Millis now) const
{
    closeWindows(budget, now);
    budget.refusedLevel_.noteArrived(priority);
    if (!budget.refusedLevel_.level().covers(priority))
        return false;
    if (budget.refusedTokens_ < 1) {
        budget.wasShort_ = true;
        return false;
    }
    budget.refusedTokens_ -= 1;
    budget.refusedLevel_.noteStarted();
    return true;
}

} // namespace retry::details
