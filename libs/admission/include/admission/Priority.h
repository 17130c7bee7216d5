#pragma once

#include <compare>
#include <string_view>

namespace admission {

/**
 * Priority of a request, the same along its whole call chain; a smaller one is better.
 *
 * Compound priority as published for DAGOR (Zhou et al., "Overload Control for Scaling WeChat
 * Microservices", SoCC 2018): the rank of the request class first, then a hash of the request, so
 * that all instances of a chain shed the same requests.
 */
struct Priority
{
    int rank_ = lowestRank;
    bool inProgress_ = false; ///< part of a root request that was already admitted
    int bucket_ = 0;          ///< hash of the root request, 0 to bucketCount - 1

    static constexpr int lowestRank = 9;
    static constexpr int bucketCount = 128;

    /** Priority of a new root request; requestId must be the same for every attempt. */
    static Priority ofRoot(int rank, std::string_view requestId);

    /** Inverse of packed(); clamps values out of range. */
    static Priority unpack(int packed);

    /** Priority of the calls made by this request. */
    Priority forChild() const;

    /** Number with the same order, sent in headers. */
    int packed() const;

    bool operator==(const Priority &) const = default;
    std::strong_ordering operator<=>(const Priority &other) const;
};

} // namespace admission
