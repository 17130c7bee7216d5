#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <base/Millis.h>
#include <once/HomeEvent.h>

namespace once {

/** Send the outcome to the exchange; a NotRun is sent with a new key. */
struct Reply
{
    WaiterId waiter_ = 0;
    Outcome outcome_;

    bool operator==(const Reply &) const = default;
};

/**
 * Choose an instance; answered by Chosen or NotChosen, possibly later, after a backoff.
 *
 * On the first attempt, the waiter's request becomes the request of the record and must be kept
 * until Release.
 */
struct ChooseExecutor
{
    RecordId record_ = 0;
    WaiterId waiter_ = 0;             ///< its request starts the record; 0 for later attempts
    std::uint32_t attempt_ = 1;       ///< 1 for the first
    std::optional<Incarnation> last_; ///< executor of the previous attempt
    NotRun notRun_;                   ///< why the previous attempt did not run
    bool wasSent_ = false;            ///< false: the previous attempt did not reach its executor

    bool operator==(const ChooseExecutor &) const = default;
};

/** Send the record's request to the executor, exactly once. */
struct Delegate
{
    RecordId record_ = 0;
    SubKey subKey_;
    std::uint64_t settledBelow_ = 0; ///< no lower sub-key of this home is queried again
    base::Millis timeLeft_;          ///< the executor must not start it after this time

    bool operator==(const Delegate &) const = default;
};

/** Query the executor of a sub-key for its outcome, without sending the request. */
struct QueryOutcome
{
    SubKey subKey_;

    bool operator==(const QueryOutcome &) const = default;
};

/**
 * Tell the executor of a sub-key to refuse it unless it has been sent to the backend server.
 * Answered by ExecutorReplied if it was refused; otherwise, and if it is lost, not at all.
 */
struct Recall
{
    SubKey subKey_;

    bool operator==(const Recall &) const = default;
};

/** The request of the record may be freed. */
struct Release
{
    RecordId record_ = 0;

    bool operator==(const Release &) const = default;
};

/** Command of a Home to its owner. */
using HomeCommand = std::variant<Reply, ChooseExecutor, Delegate, QueryOutcome, Recall, Release>;

} // namespace once
