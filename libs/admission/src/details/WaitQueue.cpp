#include <details/WaitQueue.h>

#include <cassert>

namespace admission::details {

int WaitQueue::bandOf(const Waiting &waiting)
{
    return 2 * waiting.priority_.rank_ + (waiting.priority_.inProgress_ ? 0 : 1);
}

WaitQueue::Position WaitQueue::positionOf(const Waiting &waiting)
{
    return {waiting.priority_.bucket_, waiting.sequence_, waiting.id_};
}

void WaitQueue::push(const Waiting &waiting)
{
    [[maybe_unused]] const bool added = byId_.emplace(waiting.id_, waiting).second;
    assert(added);
    bands_[bandOf(waiting)][waiting.customer_].insert(positionOf(waiting));
    deadlines_.emplace(waiting.deadline_, waiting.id_);
    ++sizes_[waiting.priority_.rank_];
}

Waiting WaitQueue::remove(RequestId id)
{
    const auto found = byId_.find(id);
    assert(found != byId_.end());
    const Waiting result = found->second;
    byId_.erase(found);
    Band &band = bands_[bandOf(result)];
    const auto line = band.find(result.customer_);
    line->second.erase(positionOf(result));
    if (line->second.empty())
        band.erase(line);
    deadlines_.erase({result.deadline_, id});
    --sizes_[result.priority_.rank_];
    return result;
}

const Waiting *WaitQueue::best(int band, const Customers &customers, bool newestFirst) const
{
    const Line *chosen = nullptr;
    double least = 0.0;
    for (const auto &[customer, line] : bands_[band]) {
        if (customers.isAtLimit(customer))
            continue;
        const double virtualTime = customers.virtualTime(customer);
        if (chosen == nullptr || virtualTime < least) {
            chosen = &line;
            least = virtualTime;
        }
    }
    if (chosen == nullptr)
        return nullptr;
    auto position = chosen->begin();
    if (newestFirst) {
        const Position behindBucket = {position->bucket_ + 1, 0, 0};
        position = std::prev(chosen->lower_bound(behindBucket));
    }
    return &byId_.at(position->id_);
}

const Waiting *WaitQueue::worstOfLimitedCustomers(const Customers &customers) const
{
    for (auto band = bands_.rbegin(); band != bands_.rend(); ++band) {
        for (const auto &[customer, line] : *band) {
            if (customers.isAtLimit(customer))
                return &byId_.at(line.rbegin()->id_);
        }
    }
    return nullptr;
}

const Waiting *WaitQueue::worst(const Customers &customers, bool newestFirst) const
{
    // What its customer's limit holds back must not take the place of requests that could run.
    if (const Waiting *limited = worstOfLimitedCustomers(customers))
        return limited;
    for (auto band = bands_.rbegin(); band != bands_.rend(); ++band) {
        const Line *longest = nullptr;
        double most = 0.0;
        for (const auto &[customer, line] : *band) {
            const double length = static_cast<double>(line.size()) / customers.weight(customer);
            if (longest == nullptr || length > most) {
                longest = &line;
                most = length;
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

const Waiting *WaitQueue::earliestDeadline() const
{
    return deadlines_.empty() ? nullptr : &byId_.at(deadlines_.begin()->second);
}

std::size_t WaitQueue::size(int rank) const
{
    return sizes_[rank];
}

} // namespace admission::details
