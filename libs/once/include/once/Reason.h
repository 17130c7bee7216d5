#pragma once

#include <cstdint>
#include <string_view>

namespace once {

/** Why a request was not run or why its outcome is unknown. */
enum class Reason : std::uint8_t {
    None,
    BadKey,              ///< the key was never issued
    NoInstance,          ///< no instance accepted the request
    Overloaded,          ///< refused by admission
    Draining,            ///< the instance is shutting down
    BackendUnavailable,  ///< no connection to the backend server
    BackendRefused,      ///< the backend server reported the request as not run
    DeadlinePassed,      ///< too late to start
    NoRoom,              ///< no memory left for another record
    Cancelled,           ///< the caller disconnected before the request was dispatched
    NeverArrived,        ///< queried before the request arrived; the executor refuses it since
    KeyBurned,           ///< an earlier reply promised that it never runs under this key
    KeyExpired,          ///< the key expired
    KeyMismatch,         ///< the key was issued for another customer, service or request
    OtherGeneration,     ///< the process that held the key or the request has ended
    HomeUnreachable,     ///< the home of the key did not answer
    ExecutorUnreachable, ///< the executor did not answer the query for the outcome
    AnswerLost,          ///< sent to the backend server, and no complete answer was received
    AnswerNotKept,       ///< it ran, but its answer is not or no longer retained
    Forgotten,           ///< its record has been evicted
    StillRunning,        ///< the caller's deadline passed before the answer
    TooManyWaiting,      ///< too many callers wait for the same answer
    CustomerLimit,       ///< the customer is at its concurrency limit
    RepeatLimit,         ///< the service is at its limit of repeats
    AllowanceSpent,      ///< the customer has used its allowance
    AllowanceUnknown,    ///< no daemon that allots the customer's allowance answered
    Unconfirmed,         ///< the configuration was not confirmed recently enough
    UnknownKey,          ///< no customer holds the request's access key
};

/** Stable text of a reason for headers and logs, such as "no-instance". */
std::string_view reasonText(Reason reason);

/** Inverse of reasonText(); None for an unknown text. */
Reason parseReason(std::string_view text);

} // namespace once
