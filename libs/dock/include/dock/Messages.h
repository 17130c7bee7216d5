#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <admission/Level.h>
#include <allowance/Tenure.h>
#include <base/Millis.h>
#include <dock/AllowanceStatus.h>
#include <dock/BackendServer.h>
#include <metrics/Snapshot.h>
#include <model/Config.h>
#include <model/Member.h>
#include <once/Incarnation.h>
#include <retry/RepeatStatus.h>
#include <routing/InstanceStatus.h>
#include <routing/LoadCounters.h>

namespace dock {

/** Applies the configuration that is in force now. */
struct ConfigUpdated
{
    std::shared_ptr<const model::Config> config_;
};

/**
 * The configurations sent so far include each one that was acknowledged by the given time on
 * base::elapsedNow(). Sent only while the configuration in force requires keys.
 */
struct ConfigConfirmed
{
    base::Millis confirmedAt_;
};

/** Replaces the list of members. */
struct MembersUpdated
{
    std::shared_ptr<const std::vector<model::Member>> members_;
};

/**
 * This process has to use a higher generation, as the members have a later one under its id. Keys
 * and records of the lower generation become invalid.
 */
struct IncarnationChanged
{
    once::Incarnation self_;
};

/** Starts draining: new requests are soon refused, running ones finish. */
struct BeginDrain
{};

/** The local backend server is ready; repeated, as it is treated as absent without this. */
struct BackendAnnounced
{
    BackendServer backend_;
};

/** The local backend server accepts no new requests. */
struct BackendDraining
{};

/** This daemon has become the allotter of a group, remains it, or no longer is. */
struct TenureChanged
{
    std::uint32_t group_ = 0;
    std::optional<allowance::Tenure> tenure_;
};

/** This daemon, which was the last allotter of a group, has given that up for good. */
struct AuthorityReleased
{
    std::uint32_t group_ = 0;
    std::uint64_t end_ = 0; ///< of the group's partition
};

/** Another daemon appended last to a group's partition, and is running: it may be the allotter. */
struct AllotterSeen
{
    std::uint32_t group_ = 0;
    std::string id_;
};

/** Messages from the control task to the data task. */
using DataTaskMessage =
        std::variant<ConfigUpdated, ConfigConfirmed, MembersUpdated, IncarnationChanged, BeginDrain,
                     BackendAnnounced, BackendDraining, TenureChanged, AuthorityReleased,
                     AllotterSeen>;

/** The local backend server has registered, changed or left. */
struct BackendStateChanged
{
    BackendServer backend_;
};

/** Memory used by the HTTP messages of the data task. */
struct MessageMemoryStatus
{
    std::size_t limitBytes_ = 0;
    std::size_t heldBytes_ = 0;
    std::uint64_t refusedCount_ = 0; ///< messages refused since the start, as the limit was reached

    bool operator==(const MessageMemoryStatus &) const = default;
};

/** Load of the instances as this daemon sees it. */
struct LoadViewStatus
{
    routing::LoadCounters counters_;
    std::map<std::string, std::vector<routing::InstanceStatus>> instances_; ///< by service

    bool operator==(const LoadViewStatus &) const = default;
};

/** Status of the data task; sent once a second. */
struct DataStatus
{
    BackendServer backend_;
    std::size_t openRequests_ = 0;       ///< requests of callers in progress
    std::size_t activeRequests_ = 0;     ///< running or queued at the backend server
    std::uint32_t concurrencyLimit_ = 0; ///< requests that may run at once
    admission::Level level_;
    retry::RepeatStatus repeats_;
    std::map<std::string, std::uint64_t> failures_;        ///< calls not run or unknown, by reason
    std::map<std::string, std::uint64_t> redelegations_;   ///< by the reason that allowed them
    std::map<std::string, std::uint64_t> backendFailures_; ///< by outcome and how they were matched
    MessageMemoryStatus messageMemory_;
    std::optional<AllowanceStatus> allowances_; ///< set while customers have allowances
    std::optional<LoadViewStatus> loadView_;    ///< set if calls are spread by reported load
    std::shared_ptr<const metrics::Snapshot> metrics_;
};

/** All requests have ended after BeginDrain, or the drain has timed out. */
struct DrainEnded
{};

/** An allotter of a group is needed; repeated while it is. */
struct ClaimAuthority
{
    std::uint32_t group_ = 0;
    std::optional<std::uint64_t> handOverEnd_; ///< set if the former allotter has resigned there
};

/** The allotter of a group tells where the group's partition ended after its last append. */
struct PartitionEndHeard
{
    std::uint32_t group_ = 0;
    std::uint64_t end_ = 0;
};

/** Gives up the authority over all groups, as this daemon leaves. */
struct ReleaseAuthority
{};

/** Messages from the data task to the control task. */
using ControlTaskMessage = std::variant<BackendStateChanged, DataStatus, DrainEnded, ClaimAuthority,
                                        PartitionEndHeard, ReleaseAuthority>;

} // namespace dock
