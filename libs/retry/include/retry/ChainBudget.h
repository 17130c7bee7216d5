#pragma once

#include <cstdint>

namespace retry {

/**
 * Extra attempts that a running call and all its descendants may still make.
 *
 * Attempts allocated to a callee are deducted at once and reclaimed only when an answer reports how
 * many remain, so that parallel calls cannot use the same attempt twice.
 */
class ChainBudget
{
public:
    constexpr ChainBudget() = default;

    /** A budget of extraAttempts. */
    constexpr explicit ChainBudget(std::uint32_t extraAttempts)
        : remaining_(extraAttempts)
    {}

    /** Remaining extra attempts, without those allocated to callees. */
    constexpr std::uint32_t remaining() const { return remaining_; }

    /** Uses one extra attempt; false if none remains. */
    bool spend();

    /** Deducts and returns the share of one attempt's callee: half, rounded down. */
    std::uint32_t allocate();

    /** Adds back what a callee did not use, at most what was allocated to it. */
    void reclaim(std::uint32_t allocated, std::uint32_t unused);

    bool operator==(const ChainBudget &) const = default;

private:
    std::uint32_t remaining_ = 0;
};

} // namespace retry
