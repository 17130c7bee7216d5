#include <details/WaitQueue.h>

#include <cassert>

namespace admission::details {

int WaitQueue::bandOf(const WaitingRequest &waiting)
{
    return 2 * waiting.priority_.rank_ + (waiting.priority_.inProgress_ ? 0 : 1);
}

WaitQueue::Position WaitQueue::positionOf(const WaitingRequest &waiting)
{
    return {waiting.priority_.bucket_, waiting.sequence_, waiting.id_};
}

void WaitQueue::push(const WaitingRequest &waiting)
{
    [[maybe_unused]] const bool added = byId_.emplace(waiting.id_, waiting).second;
    assert(added);
    bands_[bandOf(waiting)][waiting.customer_].insert(positionOf(waiting));
    deadlines_.emplace(waiting.deadline_, waiting.id_);
    ++sizes_[waiting.priority_.rank_];
}

WaitingRequest WaitQueue::remove(RequestId id)
{
    const auto found = byId_.find(id);
    assert(found != byId_.end());
    const WaitingRequest result = found->second;
    byId_.erase(found);
    Band &band = bands_[bandOf(result)];
    const auto requests = band.find(result.customer_);
    requests->second.erase(positionOf(result));
    if (requests->second.empty())
        band.erase(requests);
    deadlines_.erase({result.deadline_, id});
    --sizes_[result.priority_.rank_];
    return result;
}

const WaitingRequest *WaitQueue::best(int band, const Customers &customers, bool newestFirst) const
{
    const CustomerQueue *chosen = nullptr;
    double minVirtualTime = 0.0;
    for (const auto &[customer, requests] : bands_[band]) {
        if (customers.isAtLimit(customer))
            continue;
        const double virtualTime = customers.virtualTime(customer);
        if (chosen == nullptr || virtualTime < minVirtualTime) {
            chosen = &requests;
            minVirtualTime = virtualTime;
        }
    }
    if (chosen == nullptr)
        return nullptr;
    auto position = chosen->begin();
    if (newestFirst) {
        const Position endOfBucket = {position->bucket_ + 1, 0, 0};
        position = std::prev(chosen->lower_bound(endOfBucket));
    }
    return &byId_.at(position->id_);
}

const WaitingRequest *WaitQueue::worstOfCustomersAtLimit(const Customers &customers) const
{
    for (auto band = bands_.rbegin(); band != bands_.rend(); ++band) {
        for (const auto &[customer, requests] : *band) {
            if (customers.isAtLimit(customer))
                return &byId_.at(requests.rbegin()->id_);
        }
    }
    return nullptr;
}

const WaitingRequest *WaitQueue::worst(const Customers &customers, bool newestFirst) const
{
    // Requests that their customer's limit holds back must not displace requests that could run.
    if (const WaitingRequest *limited = worstOfCustomersAtLimit(customers))
        return limited;
    for (auto band = bands_.rbegin(); band != bands_.rend(); ++band) {
        const CustomerQueue *longest = nullptr;
        double maxLength = 0.0;
        for (const auto &[customer, requests] : *band) {
            const double length = static_cast<double>(requests.size()) / customers.weight(customer);
            if (longest == nullptr || length > maxLength) {
                longest = &requests;
                maxLength = length;
            }
        }
        if (longest == nullptr)
            continue;
        auto position = std::prev(longest->end());
        if (newestFirst)
            position = longest->lower_bound(Position{position->bucket_, 0, 0});
        return &byId_.at(position->id_);
    }
    return nullptr;
}

const WaitingRequest *WaitQueue::earliestDeadline() const
{
    return deadlines_.empty() ? nullptr : &byId_.at(deadlines_.begin()->second);
}

std::size_t WaitQueue::size(int rank) const
{
    return sizes_[rank];
}

} // namespace admission::details
