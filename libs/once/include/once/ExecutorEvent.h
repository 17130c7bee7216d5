#pragma once

#include <cstdint>
#include <variant>

#include <base/Millis.h>
#include <once/HomeEvent.h>
#include <once/Outcome.h>
#include <once/Reason.h>
#include <once/SubKey.h>

namespace once {

/** A home delegates a request. */
struct Delegated
{
    WaiterId waiter_ = 0;
    SubKey subKey_;
    std::uint64_t settledBelow_ = 0;
    base::Millis timeLeft_;

    bool operator==(const Delegated &) const = default;
};

/** A home asks for the outcome of a sub-key. */
struct Asked
{
    WaiterId waiter_ = 0;
    SubKey subKey_;

    bool operator==(const Asked &) const = default;
};

/** The waiting exchange is gone. */
struct WaiterGone
{
    WaiterId waiter_ = 0;
    SubKey subKey_;

    bool operator==(const WaiterGone &) const = default;
};

/** Admission lets the request start; ask before it is sent to the backend server. */
struct Admitted
{
    SubKey subKey_;

    bool operator==(const Admitted &) const = default;
};

/**
 * The request has not run and is not going to: refused by admission, connection to the backend
 * server refused, or the backend server said so.
 */
struct Refused
{
    SubKey subKey_;
    NotRun why_;

    bool operator==(const Refused &) const = default;
};

/** The backend server's whole answer. */
struct BackendAnswered
{
    SubKey subKey_;
    AnswerPtr answer_;

    bool operator==(const BackendAnswered &) const = default;
};

/** Sent to the backend server, and no whole answer came back. */
struct BackendLost
{
    SubKey subKey_;
    Reason reason_ = Reason::AnswerLost;

    bool operator==(const BackendLost &) const = default;
};

/** What an Executor is told. */
using ExecutorEvent =
        std::variant<Delegated, Asked, WaiterGone, Admitted, Refused, BackendAnswered, BackendLost>;

} // namespace once
