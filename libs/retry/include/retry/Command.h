#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <retry/Event.h>

namespace retry {

/** Start an attempt after the delay. */
struct StartAttempt
{
    CallId call_ = 0;
    std::uint32_t attempt_ = 1; ///< counted from 1
    base::Millis delay_;
    std::uint32_t calleeBudget_ = 0; ///< extra attempts for the callee, sent with the attempt
    std::vector<std::string> excludedInstances_; ///< daemons that refused this call for overload

    bool operator==(const StartAttempt &) const = default;
};

/** Reason why a call gets no further attempt. */
enum class StopReason : std::uint8_t {
    MayHaveRun,       ///< the attempt may have run, and the call is not idempotent
    BudgetSpent,      ///< no extra attempt remains for the call or its chain
    RatioSpent,       ///< retry ratio of this customer and class exceeded
    RefusalsRepeated, ///< limit on retries after refusals by backend servers reached
    CalleeOverloaded, ///< several instances refused the call for overload
    DeadlineNear,     ///< another attempt could not finish in time
    TooDeep,          ///< the call chain is too deep; no attempt was made
};

/** Stable name of a reason, for logs and metrics. */
std::string_view stopReasonText(StopReason reason);

/** Make no further attempt and return the result of the last one to the caller. */
struct GiveUp
{
    CallId call_ = 0;
    StopReason reason_ = StopReason::BudgetSpent;

    bool operator==(const GiveUp &) const = default;
};

/** Output of Core. */
using Command = std::variant<StartAttempt, GiveUp>;

} // namespace retry
