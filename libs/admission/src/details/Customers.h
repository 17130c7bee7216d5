#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <model/Customer.h>

namespace admission::details {

/** Index of a customer in Customers; 0 is shared by all customers that are not configured. */
using CustomerIndex = std::size_t;

/** Start-time fair queueing between the customers of one instance, by weight. */
class Customers
{
public:
    Customers();

    /** Applies shares and limits; counts of customers configured before are kept. */
    void configure(const std::map<std::string, model::Customer> &customers);

    CustomerIndex indexOf(std::string_view name) const;

    bool isAtLimit(CustomerIndex index) const;

    /** Whether the customer is at its concurrency limit and has as many requests queued. */
    bool isBacklogFull(CustomerIndex index) const;

    /** Service time received per unit of weight; the customer with the lowest is served next. */
    double virtualTime(CustomerIndex index) const { return states_[index].virtualTime_; }

    double weight(CustomerIndex index) const { return states_[index].weight_; }

    void recordEnqueued(CustomerIndex index);
    void recordDequeued(CustomerIndex index);
    void recordStart(CustomerIndex index, base::Millis expectedService);
    void recordEnd(CustomerIndex index);
    void recordShed(CustomerIndex index, base::Millis now);

    /** Calls recordShed() for every customer, for shortage of a resource that all share. */
    void recordShedForAll(base::Millis now);

    /** Time of the last refusal for overload. */
    base::Millis lastShed(CustomerIndex index) const { return states_[index].lastShed_; }

private:
    struct State
    {
        double weight_ = 1.0;
        std::uint32_t maxConcurrent_ = 0;
        std::uint32_t running_ = 0;
        std::uint32_t queued_ = 0;
        double virtualTime_ = 0.0;
        base::Millis lastShed_ = base::Millis(0) - base::Millis::max();
    };

    std::map<std::string, CustomerIndex, std::less<>> indexes_;
    std::vector<State> states_;
    double virtualNow_ = 0.0;
};

} // namespace admission::details
