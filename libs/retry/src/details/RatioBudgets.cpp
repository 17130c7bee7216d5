#include <details/RatioBudgets.h>

#include <algorithm>

namespace retry::details {

RatioBudgets::RatioBudgets(const RetrySettings &settings)
    : settings_(settings)
    , overflow_{.tokens_ = settings.initialTokens_}
{}

RatioBudget &RatioBudgets::of(const std::string &customer, const std::string &requestClass)
{
    const auto name = std::to_string(customer.size()) + ':' + customer + requestClass;
    if (const auto found = budgets_.find(name); found != budgets_.end())
        return found->second;
    if (budgets_.size() >= settings_.maxBuckets_)
        return overflow_;
    return budgets_.emplace(name, RatioBudget{.tokens_ = settings_.initialTokens_}).first->second;
}

void RatioBudgets::earn(RatioBudget &budget, double ratio) const
{
    budget.tokens_ = std::min(settings_.maxTokens_, budget.tokens_ + ratio);
}

} // namespace retry::details
