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
 * Validates the heartbeats and deregistrations that a daemon receives from its backend server.
 *
 * Rejects messages that are late, duplicated, out of order, sent after a deregistration, from a
 * replaced incarnation, or from another sender. Does no I/O, reads no clock and starts no thread.
 */
class Tracker
{
public:
    /** service and address identify the backend server beside the daemon. */
    Tracker(std::string service, model::Address address);

    Verdict process(const Heartbeat &message);
    Verdict process(const Deregistration &message);

    /** The last accepted heartbeat; empty before the first one. */
    const std::optional<Heartbeat> &lastHeartbeat() const { return lastHeartbeat_; }

    /** Whether the incarnation of the last heartbeat has deregistered. */
    bool hasDeregistered() const { return hasDeregistered_; }

private:
    bool isSameIncarnation(const std::string &id, std::optional<std::int64_t> startedAt) const;
    bool isEarlierIncarnation(std::optional<std::int64_t> startedAt) const;
    bool hasDeregisteredEarly(const Heartbeat &message) const;

    const std::string service_;
    const model::Address address_;
    std::optional<Heartbeat> lastHeartbeat_;
    bool hasDeregistered_ = false;

    /** Deregistrations without a preceding heartbeat, as when a daemon starts between the two. */
    std::deque<Deregistration> earlyDeregistrations_;
};

} // namespace heartbeat
