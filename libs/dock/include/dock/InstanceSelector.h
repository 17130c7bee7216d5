#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <admission/AnswerLevels.h>
#include <admission/EntryLevels.h>
#include <admission/Priority.h>
#include <admission/RetryAfterEstimator.h>
#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <model/Member.h>
#include <once/Outcome.h>
#include <retry/StartGate.h>
#include <tl/expected.hpp>

namespace routing {
class Core;
}

namespace dock {

/** Instance selected for one attempt. */
struct Selected
{
    model::Member member_;
    admission::Priority routingPriority_; ///< priority used for the selection
    bool isOtherFree_ = false;            ///< see routing::Choice
    std::optional<base::Millis> maxWait_; ///< see Attempt::maxWait_
};

/**
 * Selects instances for calls by the routing core and the admission levels that answers reported.
 *
 * To be used on the data task's thread only.
 */
class InstanceSelector
{
public:
    /** Receives the admission level that a child call encountered, for its parent call. */
    using ParentLevelFunction = std::function<void(const CallInfo &call, admission::Level level)>;
    using InstanceIds = std::vector<std::string>;

    /**
     * onParentLevel receives the worst priority that was admitted, onParentRepeatLevel the worst
     * one whose calls are repeated as often as needed. The routing core must outlive the selector.
     */
    InstanceSelector(routing::Core &routing, std::uint64_t seed, ParentLevelFunction onParentLevel,
                     ParentLevelFunction onParentRepeatLevel);

    /**
     * Selects an instance, preferably one not in tried and never one in avoid. Fails with the
     * reason for not running the request if there is none.
     */
    tl::expected<Selected, once::NotRun> select(const CallInfo &call, const InstanceIds &avoid,
                                                const InstanceIds &tried, base::Millis now);

    /** Records the admission levels of an answer to the call. */
    void observe(const CallInfo &call, const admission::AnswerLevels &levels, base::Millis now);

    /** Records how a root request ended that was sent to an instance. */
    void recordRootEnd(const CallInfo &call, const once::Outcome &outcome, base::Millis now);

    /** Adds a retry-after time to the outcome if it has none and a later attempt may succeed. */
    once::Outcome withRetryAfter(const CallInfo &call, const once::Outcome &outcome,
                                 base::Millis now);

    /** Removes expired levels and return times. */
    void prune(base::Millis now);

private:
    once::NotRun overloadedRefusal(const CallInfo &call, base::Millis now);
    once::NotRun notStartedRefusal(const CallInfo &call, base::Millis now);
    bool mayStart(const CallInfo &call, base::Millis now);

    routing::Core &routing_;
    ParentLevelFunction onParentLevel_;
    ParentLevelFunction onParentRepeatLevel_;
    admission::EntryLevels levels_;
    admission::RetryAfterEstimator retryAfterEstimator_;
    retry::StartGate startGate_;
};

} // namespace dock
