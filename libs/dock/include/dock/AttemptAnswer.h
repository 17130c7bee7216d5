#pragma once

#include <cstdint>

#include <admission/AnswerLevels.h>
#include <base/Millis.h>
#include <once/Outcome.h>

namespace dock {

/** What the executing daemon tells the entry of one attempt. */
struct AttemptAnswer
{
    once::Outcome outcome_;
    admission::AnswerLevels levels_;
    std::uint32_t budgetLeft_ = 0; ///< retries handed down and not used
    base::Millis queueing_;        ///< time that it waited for a slot
    bool isLeaving_ = false;       ///< the instance is draining
    bool isReplaced_ = false;      ///< another process than the one meant; nothing was run

    bool operator==(const AttemptAnswer &) const = default;
};

} // namespace dock
