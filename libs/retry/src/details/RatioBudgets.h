#pragma once

#include <string>
#include <unordered_map>

#include <admission/LevelController.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <retry/RetrySettings.h>

namespace retry::details {

/** Retries that one customer may cause in one class, and how long its calls take. */
struct RatioBudget
{
    double tokens_ = 0;
    double refusedTokens_ = 0; ///< for attempts that repeat one refused by a backend server
    double earnedLately_ = 0;  ///< of refusedTokens_, in about a second
    admission::LevelController refusedLevel_; ///< whose refusals are repeated while these are short
    base::Millis windowEnd_;                  ///< of refusedLevel_
    bool wasShort_ = false;                   ///< in this window
    base::Millis meanTime_;                   ///< of answered attempts; moving average
};

/** The budgets of all customers and classes; beyond a number of pairs the rest share one. */
class RatioBudgets
{
public:
    explicit RatioBudgets(const RetrySettings &settings);

    /** The budget of the pair; valid as long as this object. */
    RatioBudget &of(const std::string &customer, const std::string &requestClass);

    /** Counts a first call, which earns a part of a retry of either kind. */
    void earn(RatioBudget &budget, double ratio, double refusedRatio, base::Millis now) const;

    /**
     * Pays for an attempt that repeats one refused by a backend server. While there are too few for
     * all, requests of the best priorities get as many as they need, and the others none: a request
     * that makes many calls fails by a single one.
     */
    bool spendOnRefusal(RatioBudget &budget, const admission::Priority &priority,
                        base::Millis now) const;

private:
    RetrySettings settings_;
    std::unordered_map<std::string, RatioBudget> budgets_;
    RatioBudget rest_;
};

} // namespace retry::details
