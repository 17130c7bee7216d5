#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <retry/Event.h>

namespace retry {

/** Make an attempt after the delay. */
struct StartAttempt
{
    CallId call_ = 0;
    std::uint32_t attempt_ = 1; ///< 1 for the first
    base::Millis delay_;
    std::uint32_t handedDown_ = 0;   ///< budget of the callee, to be sent along
    std::vector<std::string> avoid_; ///< daemons that refused this call as overloaded

    bool operator==(const StartAttempt &) const = default;
};

/** Why a call gets no further attempt. */
enum class StopReason : std::uint8_t {
    MayHaveRun,       ///< lost, and not idempotent
    BudgetSpent,      ///< no extra attempt left for the whole chain
    RatioSpent,       ///< too many retries of this customer and class
    RefusalsRepeated, ///< too many refusals of this customer and class to repeat them all
    CalleeOverloaded, ///< several instances refused it as overloaded
    DeadlineNear,     ///< another attempt could not end in time
    TooDeep,          ///< the call chain is too deep; no attempt was made
};

/** Stable text of a reason for logs and metrics. */
std::string_view stopReasonText(StopReason reason);

/** Make no further attempt and tell the caller how the last one ended. */
struct GiveUp
{
    CallId call_ = 0;
    StopReason reason_ = StopReason::BudgetSpent;

    bool operator==(const GiveUp &) const = default;
};

/** What a Core wants done. */
using Command = std::variant<StartAttempt, GiveUp>;

} // namespace retry
