#include <dock/CallInfo.h>

namespace dock {

Attempt makeAttempt(const CallInfo &call, std::uint32_t retryBudget, base::Millis now)
{
    return {.kind_ = AttemptKind::Run,
            .service_ = call.service_,
            .requestClass_ = call.class_.name_,
            .customer_ = call.customer_,
            .priority_ = call.priority_,
            .timeLeft_ = call.deadline_ - now,
            .budget_ = retryBudget,
            .depth_ = call.depth_,
            .repeat_ = call.repeat_,
            .completedCalls_ = call.completedCalls_,
            .request_ = call.request_};
}

CallInfo withoutContent(const CallInfo &call)
{
    return {.request_ = {.method_ = call.request_.method_, .target_ = call.request_.target_},
            .requestId_ = call.requestId_,
            .service_ = call.service_,
            .class_ = call.class_,
            .customer_ = call.customer_,
            .keyCustomer_ = call.keyCustomer_,
            .idempotencyKey_ = call.idempotencyKey_,
            .priority_ = call.priority_,
            .receivedAt_ = call.receivedAt_,
            .deadline_ = call.deadline_,
            .depth_ = call.depth_,
            .contextToken_ = call.contextToken_,
            .hasUnknownContext_ = call.hasUnknownContext_};
}

namespace {

/** Source of the retry budget of a call. */
retry::Origin originOf(const CallInfo &call)
{
    if (call.isRetriedAtEachHop_)
        return retry::RootCall{call.budget_};
    if (call.isChild())
        return retry::ChildCall{call.contextToken_};
    // The call gets no retry budget if it may be a repetition: a key chosen by the caller may have
    // been sent before, here or through another daemon, and an unknown context may belong to a
    // request that has ended with its budget spent.
    const bool mayBeRepetition = call.class_.idempotent_ && !call.idempotencyKey_.empty();
    if (mayBeRepetition || call.hasUnknownContext_)
        return retry::UnbudgetedCall{};
    return retry::RootCall{call.budget_};
}

} // namespace

retry::CallStarted callStartedEvent(retry::CallId id, const CallInfo &call)
{
    return {.call_ = id,
            .origin_ = originOf(call),
            .customer_ = call.customer_,
            .requestClass_ = call.class_.name_,
            .ratio_ = call.retryRatio_,
            .maxBudgetedRetries_ = call.maxRetries_,
            .idempotent_ = call.class_.idempotent_,
            .deadline_ = call.deadline_};
}

} // namespace dock
