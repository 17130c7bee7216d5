#pragma once

#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <retry/RetrySettings.h>

namespace retry::details {

/** Retries that one customer may cause in one class, and how long its calls take. */
struct RatioBudget
{
    double tokens_ = 0;
    base::Millis meanTime_; ///< of answered attempts; moving average
};

/** The budgets of all customers and classes; beyond a number of pairs the rest share one. */
class RatioBudgets
{
public:
    explicit RatioBudgets(const RetrySettings &settings);

    /** The budget of the pair; valid as long as this object. */
    RatioBudget &of(const std::string &customer, const std::string &requestClass);

    /** Counts a first call, which earns a part of a retry. */
    void earn(RatioBudget &budget, double ratio) const;

private:
    RetrySettings settings_;
    std::unordered_map<std::string, RatioBudget> budgets_;
    RatioBudget rest_;
};

} // namespace retry::details
