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

/** Position of a customer in Customers; 0 stands for all customers that are not configured. */
using CustomerIndex = std::size_t;

/** Shares and counts of the customers at one instance: start-time fair queueing by weight. */
class Customers
{
public:
    Customers();

    /** Takes over shares and limits; counts of known customers are kept. */
    void configure(const std::map<std::string, model::Customer> &customers);

    CustomerIndex indexOf(std::string_view name) const;

    bool isAtLimit(CustomerIndex index) const;

    /** Whether as many requests wait as the customer may run at once, and it runs them all. */
    bool isBacklogFull(CustomerIndex index) const;

    /** Service received for each unit of weight; the customer with the least goes next. */
    double virtualTime(CustomerIndex index) const { return states_[index].virtualTime_; }

    double weight(CustomerIndex index) const { return states_[index].weight_; }

    void noteQueued(CustomerIndex index);
    void noteLeftQueue(CustomerIndex index);
    void noteStarted(CustomerIndex index, base::Millis expectedService);
    void noteEnded(CustomerIndex index);
    void noteShed(CustomerIndex index, base::Millis now);

    /** As noteShed() for every customer: what is short is shared by all. */
    void noteAllShed(base::Millis now);

    /** Point in time of the last refusal for overload. */
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
