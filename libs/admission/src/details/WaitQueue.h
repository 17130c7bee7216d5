#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

#include <admission/Event.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <details/Customers.h>
#include <details/ServiceTimes.h>

namespace admission::details {

/** One request that waits for a slot. */
struct Waiting
{
    RequestId id_ = 0;
    Priority priority_;
    CustomerIndex customer_ = 0;
    ClassIndex requestClass_ = 0;
    base::Millis deadline_;
    base::Millis arrivedAt_;
    std::uint64_t sequence_ = 0; ///< order of arrival
};

/** Requests that wait, by rank, progress, customer, bucket and arrival. */
class WaitQueue
{
public:
    /** One band for each rank and progress, best first. */
    static constexpr int bandCount = 2 * (Priority::lowestRank + 1);

    static constexpr int rankOf(int band) { return band / 2; }

    /** Precondition: no request of that id waits. */
    void push(const Waiting &waiting);

    /** Takes a request out. Precondition: it waits. */
    Waiting remove(RequestId id);

    bool contains(RequestId id) const { return byId_.contains(id); }

    /** Next request of the band that its customer's limit lets run, or null. */
    const Waiting *best(int band, const Customers &customers, bool newestFirst) const;

    /** Request to give up when the queue is too long, or null when it is empty. */
    const Waiting *worst(const Customers &customers, bool newestFirst) const;

    /** The request whose deadline comes first, or null. */
    const Waiting *earliestDeadline() const;

    std::size_t size() const { return byId_.size(); }
    std::size_t size(int rank) const;

private:
    struct Position
    {
        int bucket_ = 0;
        std::uint64_t sequence_ = 0;
        RequestId id_ = 0;

        auto operator<=>(const Position &) const = default;
    };

    using Line = std::set<Position>;
    using Band = std::map<CustomerIndex, Line>;

    static int bandOf(const Waiting &waiting);
    static Position positionOf(const Waiting &waiting);
    const Waiting *worstOfLimitedCustomers(const Customers &customers) const;

    std::array<Band, bandCount> bands_;
    std::array<std::size_t, Priority::lowestRank + 1> sizes_ = {};
    std::set<std::pair<base::Millis, RequestId>> deadlines_;
    std::unordered_map<RequestId, Waiting> byId_;
};

} // namespace admission::details
