#pragma once

#include <cstdint>
#include <string_view>

namespace once {

/** Why a request was not run or why its outcome is unknown. */
enum class Reason : std::uint8_t {
    None,
    BadKey,              ///< the key was never issued
    NoInstance,          ///< no instance took the request
    Overloaded,          ///< refused by admission
    Draining,            ///< the instance is leaving
    BackendUnavailable,  ///< the backend server could not be connected to
    BackendRefused,      ///< the backend server said that it did not run the request
    DeadlinePassed,      ///< too late to start
    NoRoom,              ///< no memory left for another record
    Cancelled,           ///< the caller hung up before the request was dispatched
    NeverArrived,        ///< the executor was asked before the request came, and refuses it since
    KeyBurned,           ///< an earlier answer said that it is never run under this key
    KeyExpired,          ///< the key expired
    KeyMismatch,         ///< the key was issued for another customer, service or request
    OtherGeneration,     ///< the process that knew the key or the run is gone
    HomeUnreachable,     ///< the home of the key could not be asked
    ExecutorUnreachable, ///< the executor could not be asked for the outcome
    AnswerLost,          ///< sent to the backend server, and no whole answer came back
    AnswerNotKept,       ///< its answer is not kept any more
    Forgotten,           ///< too old to tell
    StillRunning,        ///< the caller's deadline passed before the answer came
    TooManyWaiting,      ///< too many callers wait for the same answer
    CustomerLimit,       ///< the customer runs as many requests as it may
    RepeatLimit,         ///< the service has had as many repeats as it may
};

/** Stable text of a reason for headers and logs, such as "no-instance". */
std::string_view reasonText(Reason reason);

/** Inverse of reasonText(); None for an unknown text. */
Reason parseReason(std::string_view text);

} // namespace once
