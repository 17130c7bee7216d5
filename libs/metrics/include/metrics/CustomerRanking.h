#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>

namespace metrics {

/**
 * Chooses which customers have metrics of their own: those that send most. Hysteresis keeps two
 * customers of about the same size from replacing each other.
 */
class CustomerRanking
{
public:
    explicit CustomerRanking(std::size_t maxRanked);

    /** Counts a request of a customer; returns whether it has metrics of its own. */
    bool recordRequest(std::string_view customer, base::Millis now);

    /** Replaces small customers by larger ones; returns those that were replaced. */
    std::vector<std::string> rerank(base::Millis now);

    /** Forgets the customers for which the function returns true; returns those that had a rank. */
    std::vector<std::string> removeIf(const std::function<bool(const std::string &)> &isRemoved);

    /** Requests a second of a customer over the last tens of seconds. */
    double ratePerSecond(std::string_view customer, base::Millis now) const;

private:
    struct Customer
    {
        double requests_ = 0; ///< decayed to countedAt_
        base::Millis countedAt_;
        bool isRanked_ = false;
    };

    static double decayedRequests(const Customer &customer, base::Millis now);

    std::size_t maxRanked_;
    std::size_t rankedCount_ = 0;
    std::map<std::string, Customer, std::less<>> customers_;
};

} // namespace metrics
