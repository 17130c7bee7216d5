#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <admission/AnswerLevels.h>
#include <admission/EntryLevels.h>
#include <admission/Priority.h>
#include <admission/ReturnTimes.h>
#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <model/Member.h>
#include <once/Outcome.h>
#include <tl/expected.hpp>

namespace routing {
class Core;
}

namespace dock {

/** The instance for one attempt. */
struct Selected
{
    model::Member member_;
    admission::Priority routed_; ///< priority by which it was chosen
};

/**
 * Picks instances for calls: joins the routing decision with the levels learnt from answers.
 *
 * All members are for the data task's thread.
 */
class InstanceSelector
{
public:
    /** Passes on the level that a call made within a running call met. */
    using ParentLevel = std::function<void(const CallInfo &call, admission::Level level)>;
    using Names = std::vector<std::string>;

    /** The routing decision must outlive the selector. */
    InstanceSelector(routing::Core &routing, std::uint64_t seed, ParentLevel onParentLevel);

    /**
     * Picks an instance: one that was not tried, if there is one; never one of those to avoid.
     * Without one the request is not run, and nothing was sent.
     */
    tl::expected<Selected, once::NotRun> select(const CallInfo &call, const Names &avoid,
                                                const Names &tried, base::Millis now);

    /** Learns from an answer to the call. */
    void observe(const CallInfo &call, const admission::AnswerLevels &levels, base::Millis now);

    /** The outcome with a time to return, if it lacks one and another try may go better then. */
    once::Outcome withReturnTime(const CallInfo &call, const once::Outcome &outcome,
                                 base::Millis now);

    /** Forgets what has expired. */
    void prune(base::Millis now);

private:
    once::NotRun overloaded(const CallInfo &call, base::Millis now);

    routing::Core &routing_;
    ParentLevel onParentLevel_;
    admission::EntryLevels levels_;
    admission::ReturnTimes returnTimes_;
};

} // namespace dock
