#include <metrics/CustomerRanking.h>

#include <algorithm>
#include <cmath>

namespace metrics {

namespace {

constexpr base::Millis decayTime(30000);
constexpr double millisPerSecond = 1000.0;

/** How many times the requests of a ranked customer another one needs to replace it. */
constexpr double replacementFactor = 2.0;

} // namespace

CustomerRanking::CustomerRanking(std::size_t maxRanked)
    : maxRanked_(maxRanked)
{}

double CustomerRanking::decayedRequests(const Customer &customer, base::Millis now)
{
    const auto age = std::max(0.0, (now - customer.countedAt_).fractional());
    return customer.requests_ * std::exp(-age / decayTime.fractional());
}

bool CustomerRanking::recordRequest(std::string_view customer, base::Millis now)
{
    auto found = customers_.find(customer);
    if (found == customers_.end())
        found = customers_.emplace(customer, Customer{}).first;
    auto &entry = found->second;
    entry.requests_ = decayedRequests(entry, now) + 1;
    entry.countedAt_ = now;
    if (!entry.isRanked_ && rankedCount_ < maxRanked_) {
        entry.isRanked_ = true;
        ++rankedCount_;
    }
    return entry.isRanked_;
}

std::vector<std::string> CustomerRanking::rerank(base::Millis now)
{
    if (customers_.size() <= maxRanked_)
        return {};
    using Entry = std::pair<double, decltype(customers_)::iterator>;
    std::vector<Entry> ranked;
    std::vector<Entry> others;
    for (auto it = customers_.begin(); it != customers_.end(); ++it)
        (it->second.isRanked_ ? ranked : others).emplace_back(decayedRequests(it->second, now), it);
    const auto byRequests = [](const Entry &a, const Entry &b) {
        return a.first < b.first;
    };
    std::ranges::sort(ranked, byRequests);
    std::ranges::sort(others, [&](const Entry &a, const Entry &b) { return byRequests(b, a); });
    std::vector<std::string> replaced;
    for (std::size_t i = 0; i < std::min(ranked.size(), others.size()); ++i) {
        if (others[i].first <= replacementFactor * ranked[i].first)
            break;
        ranked[i].second->second.isRanked_ = false;
        others[i].second->second.isRanked_ = true;
        replaced.push_back(ranked[i].second->first);
    }
    return replaced;
}

std::vector<std::string>
CustomerRanking::removeIf(const std::function<bool(const std::string &)> &isRemoved)
{
    std::vector<std::string> removed;
    std::erase_if(customers_, [&](const auto &entry) {
        if (!isRemoved(entry.first))
            return false;
        if (entry.second.isRanked_)
            removed.push_back(entry.first);
        return true;
    });
    rankedCount_ -= removed.size();
    return removed;
}

double CustomerRanking::ratePerSecond(std::string_view customer, base::Millis now) const
{
    const auto found = customers_.find(customer);
    if (found == customers_.end())
        return 0;
    return decayedRequests(found->second, now) * millisPerSecond / decayTime.fractional();
}

} // namespace metrics
