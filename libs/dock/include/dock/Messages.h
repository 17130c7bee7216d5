#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <admission/Level.h>
#include <dock/BackendServer.h>
#include <metrics/Snapshot.h>
#include <model/Config.h>
#include <model/Member.h>
#include <once/Incarnation.h>

namespace dock {

/** A configuration is in force. */
struct ConfigInForce
{
    std::shared_ptr<const model::Config> config_;
};

/** The members known now. */
struct MembersKnown
{
    std::shared_ptr<const std::vector<model::Member>> members_;
};

/**
 * This process has to use a higher generation, as the members remember a later one of its name.
 * Keys and records of the lower one are not valid any more.
 */
struct IncarnationChanged
{
    once::Incarnation self_;
};

/** This daemon is going to leave: no new work. */
struct BeginDrain
{};

/** The backend server beside the daemon takes work; repeated, as silence means absence. */
struct BackendAnnounced
{
    BackendServer backend_;
};

/** The backend server beside the daemon takes no new work. */
struct BackendLeaving
{};

/** Messages from the control task to the data task. */
using ToData = std::variant<ConfigInForce, MembersKnown, IncarnationChanged, BeginDrain,
                            BackendAnnounced, BackendLeaving>;

/** The backend server beside the daemon came, changed or left. */
struct BackendStateChanged
{
    BackendServer backend_;
};

/** What the messages of the data task take of its memory. */
struct MessageMemory
{
    std::size_t limit_ = 0;
    std::size_t held_ = 0;
    std::uint64_t refused_ = 0; ///< messages without room since the start

    bool operator==(const MessageMemory &) const = default;
};

/** What the data task is doing; sent once a second. */
struct DataStatus
{
    BackendServer backend_;
    std::size_t openRequests_ = 0; ///< of callers
    std::size_t activeRuns_ = 0;   ///< at the backend server, running or queued
    std::uint32_t limit_ = 0;      ///< requests that may run at once
    admission::Level level_;
    std::map<std::string, std::uint64_t> failures_;        ///< calls not run or unknown, by reason
    std::map<std::string, std::uint64_t> delegatedAgain_;  ///< by what allowed it
    std::map<std::string, std::uint64_t> backendFailures_; ///< by outcome and match
    MessageMemory memory_;
    std::shared_ptr<const metrics::Snapshot> metrics_;
};

/** All work has ended after BeginDrain, or the time for it is over. */
struct DrainEnded
{};

/** Messages from the data task to the control task. */
using ToControl = std::variant<BackendStateChanged, DataStatus, DrainEnded>;

} // namespace dock
