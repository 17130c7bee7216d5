#pragma once

#include <vector>

#include <base/Millis.h>
#include <drain/Expectation.h>
#include <drain/OpenWork.h>
#include <drain/Schedule.h>
#include <drain/Step.h>

namespace drain {

/**
 * Decides when a leaving daemon takes the steps of its drain.
 *
 * A drain ends early only when nothing that was accepted is open any more. At its timeout, each
 * request that is still open gets an answer before the end. A process that was paused beyond these
 * times takes the last steps one at a time, so that answers that arrived meanwhile are delivered.
 *
 * Free of I/O; the time is passed in.
 */
class Core
{
public:
    Core(const Schedule &schedule, base::Millis startedAt);

    /** The steps that are due; each step is returned once. To be called every 100 ms or sooner. */
    std::vector<Step> advance(const OpenWork &work, base::Millis now);

    /**
     * Whether to accept a request that arrives now, if its kind is still served: one that would
     * probably be open at the end of the drain is refused, so that it runs elsewhere or not at all.
     */
    bool accepts(const Expectation &request, base::Millis now) const;

private:
    bool isHandoverDue(const OpenWork &work, base::Millis elapsed) const;
    bool isDone(const OpenWork &work, base::Millis elapsed) const;

    Schedule schedule_;
    base::Millis startedAt_;
    base::Millis answeredRestAt_ = base::Millis::max();
    bool isRefusingCallers_ = false;
    bool hasHandedOver_ = false;
    bool hasTakenBack_ = false;
    bool hasEnded_ = false;
};

} // namespace drain
