#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace net {

/**
 * Limit on the total size of the messages that one task keeps in memory, in bytes.
 *
 * A message may grow as long as its new size does not exceed the bytes that then remain free. The
 * fuller the budget, the smaller the largest message it admits: large messages are refused first,
 * and N messages of unbounded size leave 1/(N + 1) of the budget to all others. Does no I/O; not
 * thread-safe.
 */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limitBytes_(limit)
    {}

    /** Whether a message of `size` bytes may grow by `more` bytes; counts each refusal. */
    bool mayGrow(std::size_t size, std::size_t more);

    void add(std::size_t bytes) { reservedBytes_ += bytes; }
    void subtract(std::size_t bytes) { reservedBytes_ -= bytes; }

    std::size_t limitBytes() const { return limitBytes_; }
    std::size_t reservedBytes() const { return reservedBytes_; }

    /** Number of times that mayGrow() refused since the start. */
    std::uint64_t refusalCount() const { return refusalCount_; }

private:
    std::size_t limitBytes_;
    std::size_t reservedBytes_ = 0;
    std::uint64_t refusalCount_ = 0;
};

/** The given budget, or the fallback if it is null. */
inline ByteBudget &budgetOr(ByteBudget *budget, ByteBudget &fallback)
{
    return budget != nullptr ? *budget : fallback;
}

} // namespace net
