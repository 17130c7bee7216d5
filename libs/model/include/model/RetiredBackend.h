#pragma once

#include <cstdint>
#include <limits>
#include <utility>

namespace model {

/**
 * Incarnation of a backend server that has announced its end to the daemon beside it.
 *
 * Outlives that daemon's process in the memory of the others, so that its successor rejects
 * heartbeats that were sent before the announcement. Only for incarnations that report their
 * start: without it, a server that starts again under the same id could not be told apart.
 */
struct RetiredBackend
{
    /** Last sequence of an incarnation that has deregistered: no heartbeat follows. */
    static constexpr std::uint64_t noFurtherSequence = std::numeric_limits<std::uint64_t>::max();

    std::uint64_t instanceHash_ = 0; ///< of the instance id, which may be too long for a datagram
    std::int64_t startedAt_ = 0;     ///< milliseconds since the Unix epoch
    std::uint64_t lastSequence_ = 0; ///< heartbeats up to this one are outdated

    /** Whether this incarnation retired after the other one, or announced more since. */
    bool supersedes(const RetiredBackend &other) const
    {
        return std::pair(startedAt_, lastSequence_)
               > std::pair(other.startedAt_, other.lastSequence_);
    }

    bool operator==(const RetiredBackend &) const = default;
};

} // namespace model
