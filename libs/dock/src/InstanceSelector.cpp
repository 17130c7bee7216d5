#include <dock/InstanceSelector.h>

#include <balance/HandBack.h>
#include <routing/Core.h>

namespace dock {

namespace {

/** Lowest status that means that the backend server failed. */
constexpr int firstServerError = 500;

admission::CallScope scopeOf(const CallInfo &call)
{
    return {call.service_, call.class_.name_, call.customer_};
}

/** Whether a request that was not run for this reason may succeed at a later time. */
bool isTransient(once::Reason reason)
{
    return reason == once::Reason::BackendRefused || reason == once::Reason::BackendUnavailable
           || reason == once::Reason::NoInstance || reason == once::Reason::RepeatLimit;
}

/** None once the call has been handed back too often: it waits in the queue then. */
std::optional<base::Millis> maxWaitOf(const CallInfo &call, const routing::Choice &choice)
{
    return call.handBacks_ < balance::maxHandBacks ? choice.maxWait_ : std::nullopt;
}

} // namespace

InstanceSelector::InstanceSelector(routing::Core &routing, std::uint64_t seed,
                                   ParentLevelFunction onParentLevel,
                                   ParentLevelFunction onParentRepeatLevel)
    : routing_(routing)
    , onParentLevel_(std::move(onParentLevel))
    , onParentRepeatLevel_(std::move(onParentRepeatLevel))
    , retryAfterEstimator_(seed)
{}

once::NotRun InstanceSelector::overloadedRefusal(const CallInfo &call, base::Millis now)
{
    const auto scope = admission::scopeKey(call.class_.name_, call.customer_);
    return {once::Reason::Overloaded, retryAfterEstimator_.recordRefusal(scope, now)};
}

tl::expected<Selected, once::NotRun> InstanceSelector::select(const CallInfo &call,
                                                              const InstanceIds &avoid,
                                                              const InstanceIds &tried,
                                                              base::Millis now)
{
    const auto scope = scopeOf(call);
    // Refused before any work is done, as a downstream service would refuse it after some work.
    if (!levels_.admits(scope, call.priority_, now))
        return tl::unexpected(overloadedRefusal(call, now));
    if (!call.isChild() && tried.empty() && !mayStart(call, now))
        return tl::unexpected(notStartedRefusal(call, now));
    const auto routingPriority = levels_.routingPriority(scope, call.priority_, now);
    const auto selected = [&](const routing::Choice &choice) {
        return Selected{*choice.member_, routingPriority, choice.isOtherFree_,
                        maxWaitOf(call, choice)};
    };
    if (!tried.empty()) {
        auto excluded = avoid;
        excluded.insert(excluded.end(), tried.begin(), tried.end());
        if (const auto untried = routing_.choose(call.service_, routingPriority, excluded, now))
            return selected(*untried);
    }
    const auto choice = routing_.choose(call.service_, routingPriority, avoid, now);
    if (!choice) {
        const auto &failure = choice.error();
        if (failure.reason_ != routing::NoChoiceReason::AllShed)
            return tl::unexpected(once::NotRun{once::Reason::NoInstance, failure.retryAfter_});
        // Otherwise root requests of the parent's class would still be admitted although none of
        // their child calls is sent.
        if (call.isChild())
            onParentLevel_(call, routing_.level(call.service_, now));
        return tl::unexpected(overloadedRefusal(call, now));
    }
    return selected(*choice);
}

once::NotRun InstanceSelector::notStartedRefusal(const CallInfo &call, base::Millis now)
{
    // A part of the first rank that is not covered gets repeats, by a bucket that differs next
    // time.
    const auto level = levels_.repeatLevel(scopeOf(call), now);
    const bool isPartlyCovered =
            (level.value_ + 1) / admission::Priority::bucketCount == call.priority_.rank_;
    return {once::Reason::RepeatLimit, isPartlyCovered ? retryAfterEstimator_.independentOfLoad()
                                                       : overloadedRefusal(call, now).retryAfter_};
}

/** Whether a new root request is likely to succeed, given the repeats that its calls get. */
bool InstanceSelector::mayStart(const CallInfo &call, base::Millis now)
{
    return levels_.coversRepeats(scopeOf(call), call.priority_, now)
           || startGate_.admits(admission::scopeKey(call.class_.name_, call.customer_),
                                call.class_.idempotent_, now);
}

void InstanceSelector::recordRootEnd(const CallInfo &call, const once::Outcome &outcome,
                                     base::Millis now)
{
    if (levels_.coversRepeats(scopeOf(call), call.priority_, now))
        return;
    const auto *complete = std::get_if<once::Complete>(&outcome);
    const bool isServed = complete != nullptr && complete->answer_->status_ < firstServerError;
    startGate_.recordEnd(admission::scopeKey(call.class_.name_, call.customer_), isServed, now);
}

once::Outcome InstanceSelector::withRetryAfter(const CallInfo &call, const once::Outcome &outcome,
                                               base::Millis now)
{
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    if (notRun == nullptr || notRun->retryAfter_ > base::Millis(0) || !isTransient(notRun->reason_))
        return outcome;
    const bool isRefusedByBackend = notRun->reason_ == once::Reason::BackendRefused
                                    || notRun->reason_ == once::Reason::RepeatLimit;
    const bool isOverloaded = routing_.level(call.service_, now) != admission::Level::all();
    if (isRefusedByBackend && !isOverloaded)
        return once::NotRun{notRun->reason_, retryAfterEstimator_.independentOfLoad()};
    return once::NotRun{notRun->reason_, overloadedRefusal(call, now).retryAfter_};
}

void InstanceSelector::prune(base::Millis now)
{
    levels_.prune(now);
    retryAfterEstimator_.prune(now);
    startGate_.prune(now);
}

void InstanceSelector::observe(const CallInfo &call, const admission::AnswerLevels &levels,
                               base::Millis now)
{
    levels_.observe(scopeOf(call), levels, now);
    if (!call.isChild())
        return;
    onParentLevel_(call, admission::levelOfCallee(levels, routing_.level(call.service_, now)));
    onParentRepeatLevel_(call, levels.repeats_);
}

} // namespace dock
