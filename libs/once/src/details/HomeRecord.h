#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <once/HomeEvent.h>
#include <once/Outcome.h>
#include <once/SubKey.h>

namespace once::details {

/** No executor holds the request; one is being chosen. */
struct Choosing
{};

/** One executor may hold the request. */
struct Running
{
    SubKey subKey_;
    bool hasLostMessage_ = false; ///< at least one message was lost
    base::Millis queryInterval_;  ///< delay before the next QueryOutcome if this message is lost
    base::Millis nextQueryAt_ = base::Millis::max(); ///< max() while a message is in flight
    base::Millis queryDeadline_ = base::Millis::max();
};

/** The first complete answer. */
struct Finished
{
    AnswerPtr answer_;
};

/** The outcome is unknown, or the answer was not retained. */
struct Unresolved
{
    Reason reason_ = Reason::None;
};

/** Running is held by pointer because most records are finished and should be small. */
using HomeState = std::variant<Choosing, std::unique_ptr<Running>, Finished, Unresolved>;

/** One exchange that waits for the outcome. */
struct Waiter
{
    WaiterId waiter_ = 0;
    base::Millis deadline_;
};

/** State of one used key at its home. Burned keys have no record, only a mark in SerialBits. */
struct HomeRecord
{
    HomeState state_;
    std::uint64_t digest_ = 0;
    base::Millis expiry_;
    base::Millis startBy_;              ///< latest deadline of all waiters so far
    std::uint32_t attempt_ = 0;         ///< 0 until the first executor is chosen
    std::optional<NotRun> withdrawnAs_; ///< outcome if the executor has not run it
    std::vector<Waiter> waiting_;

    bool isDecided() const
    {
        return std::holds_alternative<Finished>(state_)
               || std::holds_alternative<Unresolved>(state_);
    }
};

} // namespace once::details
