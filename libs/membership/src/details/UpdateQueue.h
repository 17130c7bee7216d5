#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace membership::details {

/**
 * Identifiers of changed members, each to be sent a bounded number of times.
 *
 * Those sent least go first, among them the newest. Hearing the same update from somebody else
 * counts as sent (feedback as in Demers et al. 1987), which saves most of the duplicates.
 */
class UpdateQueue
{
public:
    void add(const std::string &id);
    void remove(const std::string &id);
    void clear();

    /** The update came back from another daemon. */
    void countHeard(const std::string &id, std::uint32_t limit);

    /**
     * Offers updates in order until accept() has refused some; counts those accepted as sent and
     * drops those sent `limit` times.
     */
    void take(std::uint32_t limit, const std::function<bool(const std::string &)> &accept);

    bool isEmpty() const { return order_.empty(); }
    std::size_t size() const { return order_.size(); }

private:
    /** Times sent, then newest first. */
    using Rank = std::pair<std::uint32_t, std::int64_t>;

    void count(const std::string &id, std::uint32_t times, std::uint32_t limit);

    std::int64_t nextRank_ = 0;
    std::map<std::string, Rank> ranks_;
    std::set<std::pair<Rank, std::string>> order_;
};

} // namespace membership::details
