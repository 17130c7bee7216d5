#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <base/Millis.h>
#include <once/HomeEvent.h>

namespace once {

/** Answer the exchange; a NotRun goes with a fresh key. */
struct Reply
{
    WaiterId waiter_ = 0;
    Outcome outcome_;

    bool operator==(const Reply &) const = default;
};

/**
 * Choose an instance, then say Chosen or NotChosen; may be answered later, after a backoff.
 *
 * For the first attempt the request of the waiter becomes the record's; keep it until Release.
 */
struct ChooseExecutor
{
    RecordId record_ = 0;
    WaiterId waiter_ = 0;             ///< whose request starts the record; 0 for later attempts
    std::uint32_t attempt_ = 1;       ///< 1 for the first
    std::optional<Incarnation> last_; ///< executor of the attempt before
    NotRun why_;                      ///< why the attempt before did not run
    bool wasSent_ = false;            ///< false: the attempt before did not reach its executor

    bool operator==(const ChooseExecutor &) const = default;
};

/** Send the record's request to the executor, exactly once. */
struct Delegate
{
    RecordId record_ = 0;
    SubKey subKey_;
    std::uint64_t settledBelow_ = 0; ///< no lower sub-key of this home is asked for again
    base::Millis timeLeft_;          ///< the executor must not start it later than this

    bool operator==(const Delegate &) const = default;
};

/** Ask the executor of a sub-key for its outcome, without the request. */
struct Ask
{
    SubKey subKey_;

    bool operator==(const Ask &) const = default;
};

/** The record's request is not needed any more. */
struct Release
{
    RecordId record_ = 0;

    bool operator==(const Release &) const = default;
};

/** What a Home wants done. */
using HomeCommand = std::variant<Reply, ChooseExecutor, Delegate, Ask, Release>;

} // namespace once
