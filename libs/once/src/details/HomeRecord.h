#pragma once

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <once/HomeEvent.h>
#include <once/Outcome.h>
#include <once/SubKey.h>

namespace once::details {

/** No executor has the request; one is being chosen. */
struct Choosing
{};

/** One executor may have the request. */
struct Running
{
    SubKey subKey_;
    bool hasAsked_ = false;                    ///< at least one message was lost
    base::Millis askInterval_;                 ///< until the next Ask, if this one is lost
    base::Millis askAt_ = base::Millis::max(); ///< never while a message is under way
    base::Millis giveUpAt_ = base::Millis::max();
};

/** The first answer, whole. */
struct Finished
{
    AnswerPtr answer_;
};

/** Nobody can tell, or the answer is not kept. */
struct Unresolved
{
    Reason reason_ = Reason::None;
};

/** Running is held by pointer to keep the many finished records small. */
using HomeState = std::variant<Choosing, std::unique_ptr<Running>, Finished, Unresolved>;

/** One exchange that waits for the outcome. */
struct Waiting
{
    WaiterId waiter_ = 0;
    base::Millis deadline_;
};

/** What a home knows of one used key. Burned keys have none, only their mark as used. */
struct HomeRecord
{
    HomeState state_;
    std::uint64_t digest_ = 0;
    base::Millis expiry_;
    base::Millis startBy_;      ///< latest deadline of those who waited
    std::uint32_t attempt_ = 0; ///< 0 until the first executor is chosen
    std::vector<Waiting> waiting_;

    bool isDecided() const
    {
        return std::holds_alternative<Finished>(state_)
               || std::holds_alternative<Unresolved>(state_);
    }
};

} // namespace once::details
