#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <balance/LoadReport.h>
#include <base/Millis.h>
#include <model/Member.h>

namespace routing {

/** Full list of the current members; replaces the previous list. */
struct MembersChanged
{
    std::vector<model::Member> members_;

    bool operator==(const MembersChanged &) const = default;
};

/** A call was sent to the instance. */
struct CallSent
{
    std::string instance_;
    admission::Priority priority_;

    bool operator==(const CallSent &) const = default;
};

/** Kind of an answer, as far as it matters for routing. */
enum class AnswerKind : std::uint8_t {
    Complete, ///< a complete response of the backend server
    Failed,   ///< the backend server refused the request, failed, or sent a truncated answer
    Shed,     ///< not run because of overload
    Refused,  ///< not run for another reason: draining, deadline, customer limit
    Unknown,  ///< the instance's daemon cannot tell whether the request ran
};

/** An instance answered a call. */
struct CallAnswered
{
    std::string instance_;
    AnswerKind kind_ = AnswerKind::Complete;
    admission::Priority priority_;
    admission::Level level_;    ///< from the answer; Level::all() when the answer carries none
    bool isLeaving_ = false;    ///< the answer marks the instance as draining
    bool isHandedBack_ = false; ///< not queued, as the wait was too long
    bool isOtherFree_ = false;  ///< see Choice
    base::Millis queueing_;     ///< time that the call waited for a slot
    std::optional<balance::LoadReport> load_; ///< from the answer
    std::uint64_t generation_ = 0;            ///< of the process that the call was sent to

    bool operator==(const CallAnswered &) const = default;
};

/** Why a call ended without an answer. */
enum class FailureKind : std::uint8_t {
    NotSent,
    Lost,
    TimedOut,
    Cancelled, ///< by the caller; does not count as a failure of the instance
};

/** A call ended without an answer. */
struct CallFailed
{
    std::string instance_;
    FailureKind kind_ = FailureKind::Lost;

    bool operator==(const CallFailed &) const = default;
};

/** Health and load report of an instance; only a hint, as it may be late or wrong. */
struct InstanceReported
{
    std::string instance_;
    bool isHealthy_ = true;
    double utilisation_ = 0.0; ///< 1: fully utilised

    bool operator==(const InstanceReported &) const = default;
};

using Event = std::variant<MembersChanged, CallSent, CallAnswered, CallFailed, InstanceReported>;

} // namespace routing
