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

/** A request that waits for a slot. */
struct WaitingRequest
{
    RequestId id_ = 0;
    Priority priority_;
    CustomerIndex customer_ = 0;
    ClassIndex requestClass_ = 0;
    base::Millis deadline_;
    base::Millis arrivedAt_;
    std::uint64_t sequence_ = 0; ///< order of arrival
};

/** Waiting requests, ordered by rank, progress, customer, bucket and arrival. */
class WaitQueue
{
public:
    /** One band for each rank and progress, best first. */
    static constexpr int bandCount = 2 * (Priority::lowestRank + 1);

    static constexpr int rankOf(int band) { return band / 2; }

    /** Precondition: no request with that id is queued. */
    void push(const WaitingRequest &waiting);

    /** Removes a request. Precondition: it is queued. */
    WaitingRequest remove(RequestId id);

    bool contains(RequestId id) const { return byId_.contains(id); }

    /** Next request of the band whose customer is below its limit, or nullptr. */
    const WaitingRequest *best(int band, const Customers &customers, bool newestFirst) const;

    /** Request to drop when the queue is over its capacity, or nullptr when it is empty. */
    const WaitingRequest *worst(const Customers &customers, bool newestFirst) const;

    /** The request with the earliest deadline, or nullptr. */
    const WaitingRequest *earliestDeadline() const;

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

    using CustomerQueue = std::set<Position>;
    using Band = std::map<CustomerIndex, CustomerQueue>;

    static int bandOf(const WaitingRequest &waiting);
    static Position positionOf(const WaitingRequest &waiting);
    const WaitingRequest *worstOfCustomersAtLimit(const Customers &customers) const;

    std::array<Band, bandCount> bands_;
    std::array<std::size_t, Priority::lowestRank + 1> sizes_ = {};
    std::set<std::pair<base::Millis, RequestId>> deadlines_;
    std::unordered_map<RequestId, WaitingRequest> byId_;
};

} // namespace admission::details
