#pragma once

#include <cstdint>

namespace retry {

/**
 * Extra attempts that one running call and everything below it may still make.
 *
 * What is handed down is taken off at once and comes back only when an answer says what is left of
 * it, so that calls in parallel cannot use the same attempt twice.
 */
class ChainBudget
{
public:
    constexpr ChainBudget() = default;

    /** A budget of that many extra attempts. */
    constexpr explicit ChainBudget(std::uint32_t extraAttempts)
        : left_(extraAttempts)
    {}

    /** Extra attempts left here; what was handed down does not count. */
    constexpr std::uint32_t left() const { return left_; }

    /** Uses one extra attempt; false when there is none. */
    bool spend();

    /** Takes off the share of one attempt's callee: half, rounded down. */
    std::uint32_t handDown();

    /** Takes back what a callee did not use of what it was handed; more is not believed. */
    void takeBack(std::uint32_t handedDown, std::uint32_t unused);

    bool operator==(const ChainBudget &) const = default;

private:
    std::uint32_t left_ = 0;
};

} // namespace retry
