#include <details/UpdateQueue.h>

namespace membership::details {
namespace {

constexpr int maxRefusals = 3;
constexpr std::uint32_t receivedWeight = 1;

} // namespace

void UpdateQueue::add(const std::string &id)
{
    remove(id);
    const Rank rank{0, --lowestSequence_};
    ranks_[id] = rank;
    order_.emplace(rank, id);
}

void UpdateQueue::remove(const std::string &id)
{
    const auto found = ranks_.find(id);
    if (found == ranks_.end())
        return;
    order_.erase({found->second, id});
    ranks_.erase(found);
}

void UpdateQueue::clear()
{
    ranks_.clear();
    order_.clear();
}

void UpdateQueue::countReceived(const std::string &id, std::uint32_t limit)
{
    addSendCount(id, receivedWeight, limit);
}

void UpdateQueue::take(std::uint32_t limit, const std::function<bool(const std::string &)> &accept)
{
    std::vector<std::string> accepted;
    int refusals = 0;
    for (const auto &[rank, id] : order_) {
        if (accept(id))
            accepted.push_back(id);
        else if (++refusals == maxRefusals)
            break;
    }
    for (const auto &id : accepted)
        addSendCount(id, 1, limit);
}

void UpdateQueue::addSendCount(const std::string &id, std::uint32_t times, std::uint32_t limit)
{
    const auto found = ranks_.find(id);
    if (found == ranks_.end())
        return;
    auto &rank = found->second;
    order_.erase({rank, id});
    rank.first += times;
    if (rank.first >= limit)
        ranks_.erase(found);
    else
        order_.emplace(rank, id);
}

} // namespace membership::details
