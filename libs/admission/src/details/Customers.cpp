#include <details/Customers.h>

#include <algorithm>

namespace admission::details {

namespace {
constexpr CustomerIndex unconfigured = 0;
constexpr double leastChargeMillis = 0.01;
} // namespace

Customers::Customers()
    : states_(1)
{}

void Customers::configure(const std::map<std::string, model::Customer> &customers)
{
    for (const auto &[name, index] : indexes_) {
        if (!customers.contains(name))
            states_[index].maxConcurrent_ = 0;
    }
    for (const auto &[name, customer] : customers) {
        const auto [known, isNew] = indexes_.try_emplace(name, states_.size());
        if (isNew)
            states_.emplace_back();
        State &state = states_[known->second];
        state.weight_ = std::max(1.0, static_cast<double>(customer.share_));
        state.maxConcurrent_ = customer.maxConcurrent_;
    }
}

CustomerIndex Customers::indexOf(std::string_view name) const
{
    const auto known = indexes_.find(name);
    return known != indexes_.end() ? known->second : unconfigured;
}

bool Customers::isAtLimit(CustomerIndex index) const
{
    const State &state = states_[index];
    return state.maxConcurrent_ > 0 && state.running_ >= state.maxConcurrent_;
}

bool Customers::isBacklogFull(CustomerIndex index) const
{
    const State &state = states_[index];
    return isAtLimit(index) && state.queued_ >= state.maxConcurrent_;
}

void Customers::noteQueued(CustomerIndex index)
{
    State &state = states_[index];
    // A customer that was away gets no credit for the time it did not use.
    if (state.queued_ == 0)
        state.virtualTime_ = std::max(state.virtualTime_, virtualNow_);
    ++state.queued_;
}

void Customers::noteLeftQueue(CustomerIndex index)
{
    --states_[index].queued_;
}

void Customers::noteStarted(CustomerIndex index, base::Millis expectedService)
{
    State &state = states_[index];
    ++state.running_;
    virtualNow_ = std::max(virtualNow_, state.virtualTime_);
    state.virtualTime_ += std::max(leastChargeMillis, expectedService.fractional()) / state.weight_;
}

void Customers::noteEnded(CustomerIndex index)
{
    --states_[index].running_;
}

void Customers::noteShed(CustomerIndex index, base::Millis now)
{
    states_[index].lastShed_ = now;
}

void Customers::noteAllShed(base::Millis now)
{
    for (State &state : states_)
        state.lastShed_ = now;
}

} // namespace admission::details
