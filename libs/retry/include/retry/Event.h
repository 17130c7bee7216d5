#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include <base/Millis.h>

namespace retry {

/** Identifies a call of this daemon with all its attempts; never reused within a process. */
using CallId = std::uint64_t;

/** The first arrival of a request from outside; it gets the budget of its class. */
struct RootCall
{
    std::uint32_t budget_ = 0; ///< model::RetryTolerance::budget_

    bool operator==(const RootCall &) const = default;
};

/** A call made by the backend server within the running call with this token. */
struct ChildCall
{
    std::string token_;

    bool operator==(const ChildCall &) const = default;
};

/** A call without context that may be a retry, such as one with the caller's own key. */
struct UnbudgetedCall
{
    bool operator==(const UnbudgetedCall &) const = default;
};

using Origin = std::variant<RootCall, ChildCall, UnbudgetedCall>;

/** A call started; handled by StartAttempt or GiveUp. */
struct CallStarted
{
    CallId call_ = 0;
    Origin origin_;
    std::string customer_;
    std::string requestClass_;
    double ratio_ = 0; ///< model::RetryTolerance::ratio_

    /** Limit on budgeted retries of this call, regardless of the chain's budget. */
    std::uint32_t maxBudgetedRetries_ = std::numeric_limits<std::uint32_t>::max();

    bool idempotent_ = false;
    base::Millis deadline_;

    bool operator==(const CallStarted &) const = default;
};

/** Result of an attempt. */
enum class AttemptResult : std::uint8_t {
    Answered,   ///< complete answer of any content
    Failed,     ///< complete answer with a failure that another attempt may avoid
    NotSent,    ///< no byte reached the peer's application
    Overloaded, ///< refused by admission; did not run
    NotRun,     ///< did not run for another reason
    HandedBack, ///< not queued, as another instance may start it sooner; costs no retry
    Lost,       ///< may have run
};

/** An attempt ended; handled by StartAttempt or GiveUp unless the result is Answered. */
struct AttemptEnded
{
    CallId call_ = 0;
    std::uint32_t attempt_ = 0;
    AttemptResult result_ = AttemptResult::Answered;
    std::string instance_;                    ///< daemon that the attempt went to
    std::optional<std::uint32_t> budgetLeft_; ///< from the answer; empty without an answer
    bool reachedBackend_ = true; ///< false: the backend server has certainly not received it

    bool operator==(const AttemptEnded &) const = default;
};

/** The call ended for another reason, such as a disconnected caller. */
struct CallEnded
{
    CallId call_ = 0;

    bool operator==(const CallEnded &) const = default;
};

/** Input of Core. */
using Event = std::variant<CallStarted, AttemptEnded, CallEnded>;

} // namespace retry
