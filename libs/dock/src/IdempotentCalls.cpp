#include <dock/IdempotentCalls.h>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <net/Reactor.h>

namespace dock {

namespace {

constexpr int firstServerError = 500;
constexpr int statusGatewayTimeout = 504;

} // namespace

retry::AttemptResult attemptResultOf(const once::NotRun &why)
{
    if (why.reason_ == once::Reason::Overloaded || why.reason_ == once::Reason::CustomerLimit
        || why.reason_ == once::Reason::RepeatLimit)
        return retry::AttemptResult::Overloaded;
    if (why.reason_ == once::Reason::HandedBack)
        return retry::AttemptResult::HandedBack;
    return retry::AttemptResult::NotRun;
}

bool isBackendRefusal(const once::NotRun &why)
{
    return why.reason_ == once::Reason::BackendRefused;
}

IdempotentCalls::IdempotentCalls(net::Reactor &reactor, retry::Core &retry,
                                 InstanceSelector &selector, AttemptSender &sender,
                                 MustRunOnce mustRunOnce, bool retriesFailures)
    : reactor_(reactor)
    , retry_(retry)
    , selector_(selector)
    , sender_(sender)
    , mustRunOnce_(std::move(mustRunOnce))
    , retriesFailures_(retriesFailures)
{}

IdempotentCalls::~IdempotentCalls()
{
    *isAlive_ = false;
}

retry::CallId IdempotentCalls::start(CallInfo call, Done done)
{
    const auto id = nextId_++;
    auto event = callStartedEvent(id, call);
    // An issued key can name a class that is idempotent in this daemon's configuration only.
    event.idempotent_ = true;
    calls_[id] = {.info_ = std::move(call), .done_ = std::move(done)};
    // Posted, so that done is never called before start() has returned the call's id.
    reactor_.post([this, event, alive = isAlive_] {
        if (*alive && calls_.contains(event.call_))
            perform(retry_.handle(event, base::monotonicNow()));
    });
    return id;
}

void IdempotentCalls::cancel(retry::CallId id)
{
    auto node = calls_.extract(id);
    if (node.empty())
        return;
    sender_.cancel(node.mapped().send_);
    retry_.handle(retry::CallEnded{id}, base::monotonicNow());
}

bool IdempotentCalls::mayHaveRun(retry::CallId id) const
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return true;
    const auto &call = found->second;
    return call.send_ != 0 || call.mayHaveRun_ || call.failedAnswer_;
}

std::string IdempotentCalls::executorOf(retry::CallId id) const
{
    const auto found = calls_.find(id);
    const bool isSent = found != calls_.end() && found->second.send_ != 0;
    return isSent ? found->second.triedInstances_.back() : std::string();
}

void IdempotentCalls::perform(const std::vector<retry::Command> &commands)
{
    for (const auto &command : commands) {
        std::visit(base::Overloaded{
                           [this](const retry::StartAttempt &order) { startAttempt(order); },
                           [this](const retry::GiveUp &order) {
                               const auto found = calls_.find(order.call_);
                               if (found != calls_.end())
                                   finish(order.call_, failureOutcome(found->second));
                           },
                   },
                   command);
    }
}

void IdempotentCalls::startAttempt(const retry::StartAttempt &order)
{
    if (order.delay_ <= base::Millis(0)) {
        sendAttempt(order);
        return;
    }
    reactor_.schedule(order.delay_, [this, order, alive = isAlive_] {
        if (*alive)
            sendAttempt(order);
    });
}

void IdempotentCalls::sendAttempt(const retry::StartAttempt &order)
{
    const auto found = calls_.find(order.call_);
    if (found == calls_.end())
        return;
    auto &call = found->second;
    call.attempt_ = order.attempt_;
    // The class may have become non-idempotent since the request was read.
    if ((call.mayHaveRun_ || call.failedAnswer_) && mustRunOnce_(call.info_)) {
        giveUp(order.call_, call);
        return;
    }
    const auto now = base::monotonicNow();
    const auto selected =
            selector_.select(call.info_, order.excludedInstances_, call.triedInstances_, now);
    if (!selected) {
        call.lastRefusal_ = selected.error();
        giveUp(order.call_, call);
        return;
    }
    const auto id = order.call_;
    ++call.report_.attempts_;
    call.triedInstances_.push_back(selected->member_.id_);
    auto attempt = makeAttempt(call.info_, order.calleeBudget_, now);
    attempt.maxWait_ = selected->maxWait_;
    call.send_ = sender_.send(*selected, std::move(attempt),
                              [this, id, instance = selected->member_.id_](SendResult result) {
                                  attemptDone(id, instance, std::move(result));
                              });
}

void IdempotentCalls::attemptDone(retry::CallId id, const std::string &instance, SendResult result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    auto &call = found->second;
    call.send_ = 0;
    retry::AttemptEnded event{.call_ = id, .attempt_ = call.attempt_, .instance_ = instance};
    if (!result) {
        const bool isUnsent = result.error() == net::FailureKind::NotSent;
        event.result_ = isUnsent ? retry::AttemptResult::NotSent : retry::AttemptResult::Lost;
        event.reachedBackend_ = !isUnsent;
        call.mayHaveRun_ |= !isUnsent;
        if (!isUnsent)
            call.info_.repeat_ = retry::RepeatKind::Rerun;
        call.lastRefusal_ = {once::Reason::NoInstance, {}};
        perform(retry_.handle(event, base::monotonicNow()));
        return;
    }
    selector_.observe(call.info_, result->levels_, base::monotonicNow());
    call.report_.queueing_ = result->queueing_;
    call.report_.completedCalls_ = result->completedCalls_;
    event.budgetLeft_ = result->budgetLeft_;
    if (const auto *notRun = std::get_if<once::NotRun>(&result->outcome_)) {
        event.result_ = attemptResultOf(*notRun);
        event.reachedBackend_ = isBackendRefusal(*notRun);
        call.info_.handBacks_ += event.result_ == retry::AttemptResult::HandedBack ? 1 : 0;
        call.lastRefusal_ = *notRun;
    } else if (std::holds_alternative<once::Unknown>(result->outcome_)) {
        event.result_ = retry::AttemptResult::Lost;
        call.mayHaveRun_ = true;
    } else if (const auto &complete = std::get<once::Complete>(result->outcome_);
               isRetryableFailure(complete, result->levels_)) {
        event.result_ = retry::AttemptResult::Failed;
        call.failedAnswer_ = complete;
    }
    if (event.result_ == retry::AttemptResult::Lost
        || event.result_ == retry::AttemptResult::Failed)
        call.info_.repeat_ = retry::RepeatKind::Rerun;
    else if (event.reachedBackend_ && call.info_.repeat_ != retry::RepeatKind::Rerun)
        call.info_.repeat_ = retry::RepeatKind::AfterRefusal;
    const auto commands = retry_.handle(event, base::monotonicNow());
    if (event.result_ == retry::AttemptResult::Answered)
        finish(id, result->outcome_);
    else
        perform(commands);
}

void IdempotentCalls::giveUp(retry::CallId id, const Call &call)
{
    retry_.handle(retry::CallEnded{id}, base::monotonicNow());
    finish(id, failureOutcome(call));
}

/**
 * Whether another instance is likely to succeed where this one answered with a server error. Not
 * while the service or a service that it calls sheds load or has too few repeats: the error is then
 * probably caused by a refused downstream call and would occur again.
 */
bool IdempotentCalls::isRetryableFailure(const once::Complete &complete,
                                         const admission::AnswerLevels &levels) const
{
    const auto status = complete.answer_->status_;
    const auto all = admission::Level::all();
    return retriesFailures_ && status >= firstServerError && status != statusGatewayTimeout
           && levels.instance_ == all && levels.downstream_ == all && levels.repeats_ == all;
}

once::Outcome IdempotentCalls::failureOutcome(const Call &call) const
{
    if (call.failedAnswer_)
        return *call.failedAnswer_;
    if (!call.mayHaveRun_)
        return call.lastRefusal_;
    const bool isLate = base::monotonicNow() >= call.info_.deadline_;
    return once::Unknown{isLate ? once::Reason::StillRunning : once::Reason::AnswerLost};
}

void IdempotentCalls::finish(retry::CallId id, const once::Outcome &outcome)
{
    auto node = calls_.extract(id);
    if (!node.empty())
        node.mapped().done_(outcome, node.mapped().report_);
}

} // namespace dock
