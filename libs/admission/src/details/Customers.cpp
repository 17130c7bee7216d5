#include <details/Customers.h>

#include <algorithm>

namespace admission::details {

namespace {
constexpr CustomerIndex unconfigured = 0;
constexpr double minChargeMillis = 0.01;
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
        const auto [entry, isNew] = indexes_.try_emplace(name, states_.size());
        if (isNew)
            states_.emplace_back();
        State &state = states_[entry->second];
        state.weight_ = std::max(1.0, static_cast<double>(customer.share_));
        state.maxConcurrent_ = customer.maxConcurrent_;
    }
}

CustomerIndex Customers::indexOf(std::string_view name) const
{
    const auto found = indexes_.find(name);
    return found != indexes_.end() ? found->second : unconfigured;
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

void Customers::recordEnqueued(CustomerIndex index)
{
    State &state = states_[index];
    // An idle customer accumulates no credit.
    if (state.queued_ == 0)
        state.virtualTime_ = std::max(state.virtualTime_, virtualNow_);
    ++state.queued_;
}

void Customers::recordDequeued(CustomerIndex index)
{
    --states_[index].queued_;
}

void Customers::recordStart(CustomerIndex index, base::Millis expectedService)
{
    State &state = states_[index];
    ++state.running_;
    virtualNow_ = std::max(virtualNow_, state.virtualTime_);
    state.virtualTime_ += std::max(minChargeMillis, expectedService.fractional()) / state.weight_;
}

void Customers::recordEnd(CustomerIndex index)
{
    --states_[index].running_;
}

void Customers::recordShed(CustomerIndex index, base::Millis now)
{
    states_[index].lastShed_ = now;
}

void Customers::recordShedForAll(base::Millis now)
{
    for (State &state : states_)
        state.lastShed_ = now;
}

} // namespace admission::details
