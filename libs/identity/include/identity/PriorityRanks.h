#pragma once

#include <vector>

#include <model/Config.h>

namespace identity {

/**
 * Ranks of requests when customers have ranks: by the customer's rank first, then by that of the
 * request class.
 *
 * The pairs of both that a configuration allows are numbered from 0 on, so all daemons with the
 * same configuration use the same ranks. If there are more pairs than ranks, neighbouring class
 * ranks of a customer's rank share a number, and if the customers alone have more ranks than that,
 * neighbouring ones of these. Requests without a customer, and customers without a rank, have the
 * last of the customers' ranks.
 */
class PriorityRanks
{
public:
    /** Number of ranks that admission distinguishes. */
    static constexpr int rankCount = model::RequestClass::lowestRank + 1;

    PriorityRanks() = default;
    explicit PriorityRanks(const model::Config &config);

    /** Whether customers have ranks; otherwise the rank of a request is that of its class. */
    bool dependOnCustomers() const { return !customerRanks_.empty(); }

    /** Rank of a customer's request; customer may be nullptr. 0 is the highest priority. */
    int rankOf(const model::Customer *customer, int classRank) const;

private:
    std::vector<int> customerRanks_; ///< in order; empty if no customer has a rank
    std::vector<int> classRanks_;    ///< in order
};

} // namespace identity
