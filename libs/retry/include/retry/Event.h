#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include <base/Millis.h>

namespace retry {

/** Names one call of this daemon with all its attempts; never reused within a process. */
using CallId = std::uint64_t;

/** A request from outside, seen for the first time: it gets the budget of its class. */
struct RootCall
{
    std::uint32_t budget_ = 0; ///< model::RetryTolerance::budget_

    bool operator==(const RootCall &) const = default;
};

/** A call made by the backend server within the running call of that token. */
struct ChildCall
{
    std::string token_;

    bool operator==(const ChildCall &) const = default;
};

/** A call without context that may be a repetition, such as one with the caller's own key. */
struct UnbudgetedCall
{
    bool operator==(const UnbudgetedCall &) const = default;
};

using Origin = std::variant<RootCall, ChildCall, UnbudgetedCall>;

/** A call starts; answered by StartAttempt or GiveUp. */
struct CallStarted
{
    CallId call_ = 0;
    Origin origin_;
    std::string customer_;
    std::string requestClass_;
    double ratio_ = 0; ///< model::RetryTolerance::ratio_

    /** Further attempts of this call, whatever the budget of the chain. */
    std::uint32_t mostRepeats_ = std::numeric_limits<std::uint32_t>::max();

    bool idempotent_ = false;
    base::Millis deadline_;

    bool operator==(const CallStarted &) const = default;
};

/** How an attempt ended. */
enum class AttemptResult : std::uint8_t {
    Answered,   ///< a whole answer, whatever it says
    Failed,     ///< a whole answer that says that the request failed, worth another attempt
    NotSent,    ///< no byte reached the other side's application
    Overloaded, ///< refused by admission, did not run
    NotRun,     ///< did not run for another reason
    Lost,       ///< may have run
};

/** An attempt ended; unless answered, answered by StartAttempt or GiveUp. */
struct AttemptEnded
{
    CallId call_ = 0;
    std::uint32_t attempt_ = 0;
    AttemptResult result_ = AttemptResult::Answered;
    std::string instance_;                    ///< daemon that the attempt went to
    std::optional<std::uint32_t> budgetLeft_; ///< as the answer says; none if no answer came
    bool reachedBackend_ = true; ///< false: its backend server has certainly not seen it

    bool operator==(const AttemptEnded &) const = default;
};

/** The call is over for another reason, such as a caller that hung up. */
struct CallEnded
{
    CallId call_ = 0;

    bool operator==(const CallEnded &) const = default;
};

/** What a Core is told. */
using Event = std::variant<CallStarted, AttemptEnded, CallEnded>;

} // namespace retry
