#pragma once

#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <retry/RetrySettings.h>

namespace retry::details {

/** Retry tokens of one customer and class, and the mean duration of its calls. */
struct RatioBudget
{
    double tokens_ = 0;
    base::Millis meanDuration_; ///< of answered attempts; moving average
};

/** Budgets of all customers and classes; pairs beyond maxBuckets_ share one. */
class RatioBudgets
{
public:
    explicit RatioBudgets(const RetrySettings &settings);

    /** The budget of the pair; the reference is valid for the lifetime of this object. */
    RatioBudget &of(const std::string &customer, const std::string &requestClass);

    /** Adds the fraction of a retry that a first call earns. */
    void earn(RatioBudget &budget, double ratio) const;

private:
    RetrySettings settings_;
    std::unordered_map<std::string, RatioBudget> budgets_;
    RatioBudget overflow_;
};

} // namespace retry::details
