#pragma once

#include <cstdint>

namespace allowance {

/** What a Wallet has done since the start. */
struct Counts
{
    std::uint64_t admitted_ = 0;
    std::uint64_t held_ = 0; ///< requests that waited for a token
    std::uint64_t refusedSpent_ = 0;
    std::uint64_t refusedUnknown_ = 0;
    std::uint64_t asks_ = 0;
    std::uint64_t grants_ = 0;     ///< answers of an allotter
    std::uint64_t failedAsks_ = 0; ///< without an answer of an allotter

    bool operator==(const Counts &) const = default;
};

} // namespace allowance
