#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace net {

/**
 * Bound on the bytes of all messages that one task holds, and how they share it.
 *
 * A message may grow as long as it is no larger than what is then still free. The more is held, the
 * less a single message may have: the large ones are refused first, and N messages without end
 * leave a part of N + 1 free for all others. No I/O; for one thread.
 */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limit_(limit)
    {}

    /** Whether a message of that size may take so much more; counts what it refuses. */
    bool mayGrow(std::size_t size, std::size_t more);

    void add(std::size_t bytes) { held_ += bytes; }
    void subtract(std::size_t bytes) { held_ -= bytes; }

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }

    /** Messages that were not let grow since the start. */
    std::uint64_t refused() const { return refused_; }

private:
    std::size_t limit_;
    std::size_t held_ = 0;
    std::uint64_t refused_ = 0;
};

/** The budget chosen, or the own one where none was. */
inline ByteBudget &budgetOr(ByteBudget *chosen, ByteBudget &own)
{
    return chosen != nullptr ? *chosen : own;
}

} // namespace net
