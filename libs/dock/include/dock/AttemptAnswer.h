#pragma once

#include <cstdint>
#include <optional>

#include <admission/AnswerLevels.h>
#include <balance/LoadReport.h>
#include <base/Millis.h>
#include <once/Outcome.h>

namespace dock {

/** Answer of the executor to the entry for one attempt. */
struct AttemptAnswer
{
    once::Outcome outcome_;
    admission::AnswerLevels levels_;
    std::uint32_t completedCalls_ = 0;        ///< that the run has made, if they are counted
    std::uint32_t budgetLeft_ = 0;            ///< unused retries of Attempt::budget_
    base::Millis queueing_;                   ///< time spent waiting for a slot
    std::optional<balance::LoadReport> load_; ///< of the backend server
    bool isDraining_ = false;                 ///< the instance is draining
    bool isReplaced_ = false;                 ///< not the addressed incarnation; nothing was run

    bool operator==(const AttemptAnswer &) const = default;
};

} // namespace dock
