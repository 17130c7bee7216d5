#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <model/Member.h>

namespace routing {

/** The members known now, all of them; replaces the earlier ones. */
struct MembersChanged
{
    std::vector<model::Member> members_;

    bool operator==(const MembersChanged &) const = default;
};

/** A call was sent to the instance. */
struct Sent
{
    std::string instance_;
    admission::Priority priority_;

    bool operator==(const Sent &) const = default;
};

/** What an instance answered, as far as routing is concerned. */
enum class AnswerKind : std::uint8_t {
    Complete, ///< an answer of the backend server
    Failed,   ///< its backend server refused or failed it, or gave no whole answer
    Shed,     ///< not run, for overload
    Refused,  ///< not run, for another reason: leaving, deadline, limit of the customer
    Unknown,  ///< the instance's daemon does not know whether the backend server ran it
};

/** The answer to a call that was sent. */
struct Answered
{
    std::string instance_;
    AnswerKind kind_ = AnswerKind::Complete;
    admission::Priority priority_;
    admission::Level level_; ///< from the answer; Level::all() when it states none
    bool isLeaving_ = false; ///< the answer says that the instance is draining

    bool operator==(const Answered &) const = default;
};

/** How a call that was sent ended without an answer. */
enum class FailureKind : std::uint8_t {
    NotSent,
    Lost,
    TimedOut,
    Cancelled, ///< by the caller; says nothing about the instance
};

/** A call that was sent got no answer. */
struct Failed
{
    std::string instance_;
    FailureKind kind_ = FailureKind::Lost;

    bool operator==(const Failed &) const = default;
};

/** Health and load report of an instance: a hint that may lag or mislead. */
struct Reported
{
    std::string instance_;
    bool isHealthy_ = true;
    double utilisation_ = 0.0; ///< 1: says that it is full

    bool operator==(const Reported &) const = default;
};

using Event = std::variant<MembersChanged, Sent, Answered, Failed, Reported>;

} // namespace routing
