#pragma once

#include <compare>
#include <string_view>

namespace admission {

/**
 * Priority of one request, stable over its whole call chain; a smaller one is better.
 *
 * Compound priority as published for DAGOR (Zhou et al., "Overload Control for Scaling WeChat
 * Microservices", SoCC 2018): the rank of the request class first, then a hash of the request, so
 * that all instances of a chain shed the same requests.
 */
struct Priority
{
    int rank_ = lowestRank;
    bool inProgress_ = false; ///< part of a request that was admitted before
    int bucket_ = 0;          ///< hash of the root request, 0 to bucketCount - 1

    static constexpr int lowestRank = 9;
    static constexpr int bucketCount = 128;

    /** Priority of a new root request; requestId is the same for every attempt. */
    static Priority ofRoot(int rank, std::string_view requestId);

    /** Inverse of packed(); values out of range are moved to the nearest one. */
    static Priority unpack(int packed);

    /** Priority that the calls made for this request carry. */
    Priority forChild() const;

    /** Number with the same order, for headers. */
    int packed() const;

    bool operator==(const Priority &) const = default;
    std::strong_ordering operator<=>(const Priority &other) const;
};

} // namespace admission
