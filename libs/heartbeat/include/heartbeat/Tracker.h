#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <heartbeat/Deregistration.h>
#include <heartbeat/Heartbeat.h>
#include <heartbeat/Verdict.h>
#include <model/Address.h>
#include <model/RetiredBackend.h>

namespace heartbeat {

/**
 * Validates the heartbeats and deregistrations that a daemon receives from its backend server.
 *
 * Rejects messages that are late, duplicated, out of order, sent after a deregistration, from a
 * replaced incarnation, or from another sender. Does no I/O, reads no clock and starts no thread.
 *
 * What was announced to an earlier process of the daemon is known from restore() only.
 */
class Tracker
{
public:
    /** service and address identify the backend server beside the daemon. */
    Tracker(std::string service, model::Address address);

    Verdict process(const Heartbeat &message);
    Verdict process(const Deregistration &message);

    /**
     * Restores what was announced to an earlier process of the daemon, unless a later announcement
     * is known. Returns whether the last accepted heartbeat turns out to be outdated; it is dropped
     * then.
     */
    bool restore(const model::RetiredBackend &retired);

    /** The incarnation that announced its end last, to this process or an earlier one. */
    const std::optional<model::RetiredBackend> &retired() const { return retired_; }

    /** The last accepted heartbeat; empty before the first one. */
    const std::optional<Heartbeat> &lastHeartbeat() const { return lastHeartbeat_; }

    /** Whether the incarnation of the last heartbeat has deregistered. */
    bool hasDeregistered() const { return hasDeregistered_; }

private:
    bool isSameIncarnation(const std::string &id, std::optional<std::int64_t> startedAt) const;
    bool isEarlierIncarnation(std::optional<std::int64_t> startedAt) const;
    bool hasDeregisteredEarly(const Heartbeat &message) const;
    bool hasRetiredSince(const Heartbeat &message) const;
    void retire(const std::string &id, std::optional<std::int64_t> startedAt,
                std::uint64_t lastSequence);

    const std::string service_;
    const model::Address address_;
    std::optional<Heartbeat> lastHeartbeat_;
    bool hasDeregistered_ = false;
    std::optional<model::RetiredBackend> retired_;

    /** Deregistrations without a preceding heartbeat, as when a daemon starts between the two. */
    std::deque<Deregistration> earlyDeregistrations_;
};

} // namespace heartbeat
