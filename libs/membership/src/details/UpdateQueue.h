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
 * Identifiers of changed members to disseminate, each a bounded number of times.
 *
 * Ordered by the number of times sent, then newest first. An update received from another daemon
 * counts as sent (feedback as in Demers et al. 1987), which avoids most duplicates.
 */
class UpdateQueue
{
public:
    void add(const std::string &id);
    void remove(const std::string &id);
    void clear();

    /** Counts an update received from another daemon as sent. */
    void countReceived(const std::string &id, std::uint32_t limit);

    /**
     * Passes updates to accept() in order until it has returned false a few times. Counts the
     * accepted ones as sent and removes those sent `limit` times.
     */
    void take(std::uint32_t limit, const std::function<bool(const std::string &)> &accept);

    bool isEmpty() const { return order_.empty(); }
    std::size_t size() const { return order_.size(); }

private:
    /** Number of times sent, then a decreasing sequence number, so that newer ones sort first. */
    using Rank = std::pair<std::uint32_t, std::int64_t>;

    void addSendCount(const std::string &id, std::uint32_t times, std::uint32_t limit);

    std::int64_t lowestSequence_ = 0;
    std::map<std::string, Rank> ranks_;
    std::set<std::pair<Rank, std::string>> order_;
};

} // namespace membership::details
