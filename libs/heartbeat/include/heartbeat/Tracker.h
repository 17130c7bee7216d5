#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <heartbeat/Deregistration.h>
#include <heartbeat/Heartbeat.h>
#include <heartbeat/Verdict.h>
#include <model/Address.h>

namespace heartbeat {

/**
 * Decides which messages of the backend server beside a daemon are believed.
 *
 * Answers for messages that arrive late, twice, out of order, after the sender has left, from an
 * incarnation that was replaced, or from another sender. No I/O, clock or thread.
 */
class Tracker
{
public:
    /** Only heartbeats of that service and address are of the backend server beside the daemon. */
    Tracker(std::string service, model::Address address);

    Verdict take(const Heartbeat &message);
    Verdict take(const Deregistration &message);

    /** The last heartbeat accepted; empty before the first one. */
    const std::optional<Heartbeat> &last() const { return last_; }

    /** Whether the incarnation heard of last has deregistered. */
    bool hasLeft() const { return hasLeft_; }

private:
    bool isSameIncarnation(const std::string &id, std::optional<std::int64_t> startedAt) const;
    bool isEarlierIncarnation(std::optional<std::int64_t> startedAt) const;
    bool hasLeftUnheard(const Heartbeat &message) const;

    const std::string service_;
    const model::Address address_;
    std::optional<Heartbeat> last_;
    bool hasLeft_ = false;

    /** Deregistrations without a heartbeat before them: a daemon may start between the two. */
    std::deque<Deregistration> leftUnheard_;
};

} // namespace heartbeat
