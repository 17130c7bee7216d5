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

/** A home queries the outcome of a sub-key. */
struct OutcomeQueried
{
    WaiterId waiter_ = 0;
    SubKey subKey_;

    bool operator==(const OutcomeQueried &) const = default;
};

/** A home recalls a sub-key: it is refused unless it has been sent to the backend server. */
struct Recalled
{
    WaiterId waiter_ = 0;
    SubKey subKey_;

    bool operator==(const Recalled &) const = default;
};

/** The exchange that waited for the outcome has ended. */
struct WaiterDisconnected
{
    WaiterId waiter_ = 0;
    SubKey subKey_;

    bool operator==(const WaiterDisconnected &) const = default;
};

/** Admission granted; the request is sent only on a SendToBackend in return. */
struct Admitted
{
    SubKey subKey_;

    bool operator==(const Admitted &) const = default;
};

/**
 * The request has not run and will not run: refused by admission, the connection to the backend
 * server was refused, or the backend server reported it as not run.
 */
struct Refused
{
    SubKey subKey_;
    NotRun notRun_;

    bool operator==(const Refused &) const = default;
};

/** Complete answer of the backend server. */
struct BackendAnswered
{
    SubKey subKey_;
    AnswerPtr answer_;

    bool operator==(const BackendAnswered &) const = default;
};

/** The request was sent to the backend server, and no complete answer was received. */
struct BackendLost
{
    SubKey subKey_;
    Reason reason_ = Reason::AnswerLost;

    bool operator==(const BackendLost &) const = default;
};

/** Input of an Executor. */
using ExecutorEvent = std::variant<Delegated, OutcomeQueried, Recalled, WaiterDisconnected,
                                   Admitted, Refused, BackendAnswered, BackendLost>;

} // namespace once
