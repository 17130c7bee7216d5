#include "details/ExecutorImpl.h"

#include <admission/EntryLevels.h>
#include <base/Clock.h>
#include <base/Overloaded.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <retry/ContextTable.h>

#include "details/BackendExchange.h"
#include "details/LateBinding.h"

namespace dock {

namespace {

using admission::Level;
using once::NotRun;
using once::Reason;
using retry::RepeatKind;

/** Lowest status that means that the backend server failed; such answers may be quick. */
constexpr int firstServerError = 500;

constexpr base::Millis tickInterval(20);

constexpr base::Millis slotSampleInterval(100);

/**
 * Tick interval while no request is queued: ticks then only detect a busy processor, and each
 * wake-up costs processor time.
 */
constexpr base::Millis idleTickInterval(50);

/**
 * A longer delay of a tick means that the processor is overloaded: an iteration of the event loop
 * takes a few milliseconds, and the shortest target latency that users specify is 150 ms.
 */
constexpr base::Millis maxTickDelay(30);

/**
 * Fraction of the platform's retry budget ratio that is used. It leaves a margin, as the platform's
 * counting windows may begin at any time, and it counts requests at another time than they arrive
 * here.
 */
constexpr double usedShareOfRetryBudget = 0.8;

/**
 * A leaving backend server is still sent the requests that wait for it for this time. Users grant 2
 * s or more.
 */
constexpr base::Millis leavingQueueTime(1500);

/** Time without an announcement after which the backend server is treated as absent. */
constexpr base::Millis announcementTimeout(5000);

NotRun notRunOf(const admission::Refuse &refusal)
{
    switch (refusal.reason_) {
    case admission::RefusalReason::CannotFinish:
        return {Reason::DeadlinePassed, refusal.retryAfter_};
    case admission::RefusalReason::NotServing:
        return {Reason::NoInstance, refusal.retryAfter_};
    case admission::RefusalReason::CustomerLimit:
        return {Reason::CustomerLimit, refusal.retryAfter_};
    case admission::RefusalReason::Overloaded:
        break;
    }
    return {Reason::Overloaded, refusal.retryAfter_};
}

/** What the first commands after an arrival mean for the request. */
balance::Arrival arrivalOf(admission::RequestId id, const std::vector<admission::Command> &commands)
{
    for (const auto &command : commands) {
        const auto *start = std::get_if<admission::Start>(&command);
        if (start != nullptr && start->id_ == id)
            return balance::Arrival::Started;
        const auto *refusal = std::get_if<admission::Refuse>(&command);
        if (refusal != nullptr && refusal->id_ == id)
            return balance::Arrival::Refused;
    }
    return balance::Arrival::Queued;
}

} // namespace

std::optional<retry::ArrivalBudget>
Executor::Impl::makeArrivalBudget(const settings::Settings &settings)
{
    if (!settings.platform_)
        return std::nullopt;
    return retry::ArrivalBudget(settings.platform_->retryBudgetRatio_ * usedShareOfRetryBudget);
}

void Executor::Impl::createRecord(once::Incarnation self)
{
    once_.emplace(std::move(self),
                  once::ExecutorSettings{.maxRecords_ = settings_.onceRecords_,
                                         .maxAnswerBytes_ = settings_.onceBytes_,
                                         .finishedRetention_ = settings_.keyLifetime_});
}

void Executor::Impl::tick()
{
    const auto now = base::monotonicNow();
    if (now - tickDue_ > maxTickDelay)
        perform(admission_.handle(admission::ProcessorBusy{}, now));
    perform(admission_.handle(admission::Tick{}, now));
    logSlotUse(now);
    levels_.prune(now);
    repeatLevels_.prune(now);
    if (arrivalBudget_)
        arrivalBudget_->closeWindows(now);
    if (isServing() && now - lastAnnounced_ > announcementTimeout) {
        events::log(events::backendSilent, "service=" + backend_.service_);
        auto backend = backend_;
        backend.serving_ = model::ServingState::Absent;
        applyBackend(backend);
    }
    scheduleTick();
}

void Executor::Impl::scheduleTick()
{
    const auto interval = admission_.queued() > 0 ? tickInterval : idleTickInterval;
    tickDue_ = base::monotonicNow() + interval;
    timer_ = reactor_.schedule(interval, [this] { tick(); });
}

std::optional<NotRun> Executor::Impl::refusalOf(const Attempt &attempt)
{
    if (!isServing() || attempt.service_ != backend_.service_) {
        const bool isLeaving = isDraining_ || backend_.serving_ == model::ServingState::Draining;
        return NotRun{isLeaving ? Reason::Draining : Reason::NoInstance, {}};
    }
    const bool canEnd =
            !accepts_ || accepts_({attempt.timeLeft_, usualTimes_.of(attempt.requestClass_)});
    if (!canEnd)
        return NotRun{Reason::Draining, {}};
    if (isHandedBack(attempt)) {
        slotUse_.record(balance::Arrival::HandedBack, freeSlots());
        return NotRun{Reason::HandedBack, {}};
    }
    const bool isOverBudget =
            arrivalBudget_ && attempt.repeat_ != RepeatKind::First
            && !arrivalBudget_->spend(repeatKindOf(attempt), attempt.priority_,
                                      attempt.completedCalls_, base::monotonicNow());
    return isOverBudget ? std::optional(NotRun{Reason::RepeatLimit, {}}) : std::nullopt;
}

RepeatKind Executor::Impl::repeatKindOf(const Attempt &attempt) const
{
    const bool isLeafRerun = attempt.repeat_ == RepeatKind::Rerun
                             && !callingClasses_.mayMakeCalls(attempt.requestClass_);
    return isLeafRerun ? RepeatKind::LeafRerun : attempt.repeat_;
}

balance::LoadReport Executor::Impl::loadReport() const
{
    return details::loadReportOf(admission_, holdingTime_.mean());
}

std::uint32_t Executor::Impl::freeSlots() const
{
    const auto running = static_cast<std::uint32_t>(admission_.running());
    const bool isFull = admission_.queued() > 0 || running >= admission_.limit();
    return isServing() && !isFull ? admission_.limit() - running : 0;
}

void Executor::Impl::logSlotUse(base::Millis now)
{
    if (now - slotUseLoggedAt_ < slotSampleInterval || !events::isLogged(events::slotSample))
        return;
    const auto sample = slotUse_.take(freeSlots());
    events::log(events::slotSample, "service=" + backend_.service_ + " ms="
                                            + std::to_string((now - slotUseLoggedAt_).count())
                                            + " started=" + std::to_string(sample.started_)
                                            + " queued=" + std::to_string(sample.queued_)
                                            + " refused=" + std::to_string(sample.refused_)
                                            + " handedBack=" + std::to_string(sample.handedBack_)
                                            + " free=" + std::to_string(sample.freeSlots_));
    slotUseLoggedAt_ = now;
}

/** Whether the attempt would wait here for longer than its entry expects elsewhere. */
bool Executor::Impl::isHandedBack(const Attempt &attempt) const
{
    return settings_.evenLoad_
           && details::isHandedBack(admission_, attempt.priority_, holdingTime_.mean(),
                                    attempt.maxWait_);
}

std::uint32_t Executor::Impl::admissionSlots() const
{
    return backend_.serving_ == model::ServingState::Absent ? 0 : backend_.slots_;
}

void Executor::Impl::configureAdmission()
{
    perform(admission_.handle(admission::Configured{admissionSlots(), customers_},
                              base::monotonicNow()));
}

void Executor::Impl::applyBackend(BackendServer backend)
{
    if (isDraining_ && backend.serving_ == model::ServingState::Ready)
        backend.serving_ = model::ServingState::Draining;
    if (backend == backend_)
        return;
    const bool isNewServer = backend.serving_ == model::ServingState::Ready
                             && backend_.serving_ != model::ServingState::Ready;
    if (isNewServer || backend.instanceId_ != backend_.instanceId_)
        holdingTime_.reset();
    backend_ = std::move(backend);
    configureAdmission();
    onBackendChanged_(backend_);
}

std::optional<Executor::Impl::RunId> Executor::Impl::createRun(Attempt attempt,
                                                               base::Millis deadline)
{
    auto token =
            contexts_.open({.priority_ = static_cast<std::uint32_t>(attempt.priority_.packed()),
                            .customer_ = attempt.customer_,
                            .deadline_ = deadline,
                            .budget_ = retry::ChainBudget(attempt.budget_),
                            .depth_ = attempt.depth_,
                            .completedCalls_ = attempt.completedCalls_,
                            .isRepeat_ = attempt.repeat_ != RepeatKind::First});
    if (!token)
        return std::nullopt;
    const auto id = nextRun_++;
    runByContext_.emplace(*token, id);
    std::string requestId;
    if (!interface_.requestIdField_.empty())
        requestId = net::headerValue(attempt.request_.headers_, interface_.requestIdField_);
    if (!requestId.empty())
        runByRequestId_[requestId] = id;
    runs_.emplace(id, Run{.attempt_ = std::move(attempt),
                          .deadline_ = deadline,
                          .arrivedAt_ = base::monotonicNow(),
                          .context_ = std::move(*token),
                          .requestId_ = std::move(requestId)});
    return id;
}

void Executor::Impl::removeRun(RunId id)
{
    auto node = runs_.extract(id);
    if (node.empty())
        return;
    const auto &run = node.mapped();
    const bool countsCalls = repeatLevels_.size() > 0;
    if (const auto *running = countsCalls ? contexts_.find(run.context_) : nullptr)
        completedCalls_ = running->completedCalls_ - run.attempt_.completedCalls_;
    budgetLeft_ = contexts_.close(run.context_);
    const bool hasStarted = run.startedAt_ > base::Millis(0);
    queueing_ = (hasStarted ? run.startedAt_ : base::monotonicNow()) - run.arrivedAt_;
    runByContext_.erase(run.context_);
    // A later attempt of the same request may already be running.
    if (const auto found = runByRequestId_.find(run.requestId_);
        found != runByRequestId_.end() && found->second == id)
        runByRequestId_.erase(found);
    onContextEnded_(run.context_);
    if (const auto &subKey = run.attempt_.subKey_)
        runBySubKey_.erase(subKey->text());
}

void Executor::Impl::requestAdmission(RunId id)
{
    if (isBaseline()) {
        start(id);
        return;
    }
    const auto &run = runs_.at(id);
    const admission::Arrived event{.id_ = id,
                                   .priority_ = run.attempt_.priority_,
                                   .customer_ = run.attempt_.customer_,
                                   .requestClass_ = run.attempt_.requestClass_,
                                   .deadline_ = run.deadline_};
    const auto commands = admission_.handle(event, base::monotonicNow());
    slotUse_.record(arrivalOf(id, commands), freeSlots());
    perform(commands);
}

void Executor::Impl::perform(const std::vector<admission::Command> &commands)
{
    for (const auto &command : commands) {
        std::visit(base::Overloaded{
                           [this](const admission::Start &order) { start(order.id_); },
                           [this](const admission::Refuse &order) {
                               refuse(order.id_, notRunOf(order));
                           },
                   },
                   command);
    }
}

void Executor::Impl::start(RunId id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    const auto now = base::monotonicNow();
    auto &run = found->second;
    run.startedAt_ = now;
    if (run.attempt_.subKey_)
        perform(once_->handle(once::Admitted{*run.attempt_.subKey_}, now));
    else
        send(id, run.deadline_ - now);
}

void Executor::Impl::refuse(RunId id, const NotRun &why)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    const auto subKey = found->second.attempt_.subKey_;
    const auto waiter = found->second.waiter_;
    removeRun(id);
    if (subKey)
        reportToRecord(*subKey, why);
    else
        reply(waiter, why);
}

void Executor::Impl::send(RunId id, base::Millis timeLeft)
{
    if (timeLeft <= base::Millis(0)) {
        finish(id, admission::Outcome::Cancelled, NotRun{Reason::DeadlinePassed, {}});
        return;
    }
    auto &run = runs_.at(id);
    if (arrivalBudget_ && run.attempt_.repeat_ == RepeatKind::First)
        arrivalBudget_->recordFirstArrival(base::monotonicNow());
    // A run is sent only once, whatever the result, so its request can be moved.
    auto request = details::backendRequest(std::move(run.attempt_.request_), timeLeft, run.context_,
                                           backend_.instanceId_, interface_);
    run.call_ = client_.send(
            backend_.address_, std::move(request), timeLeft,
            [this, id](net::CallResult result) { backendDone(id, std::move(result)); });
}

void Executor::Impl::backendDone(RunId id, net::CallResult result)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    if (settings_.evenLoad_)
        measure(found->second, result);
    const auto reply = details::BackendReply::of(result);
    const auto ended = details::backendResultOf(std::move(result), interface_);
    backendLog_.record(found->second.requestId_, reply, ended.outcome_, base::monotonicNow());
    const auto *complete = std::get_if<once::Complete>(&ended.outcome_);
    recordCalls(found->second,
                complete != nullptr && complete->answer_->status_ < firstServerError);
    finish(id, ended.admissionOutcome_, ended.outcome_);
}

/** A run without calls that failed does not show that its class makes none. */
void Executor::Impl::recordCalls(const Run &run, bool isServed)
{
    const auto *running = arrivalBudget_ ? contexts_.find(run.context_) : nullptr;
    const bool hasMadeCalls = running != nullptr && running->hasMadeCalls_;
    if (running != nullptr && (hasMadeCalls || isServed))
        callingClasses_.recordRun(run.attempt_.requestClass_, hasMadeCalls);
}

void Executor::Impl::measure(const Run &run, const net::CallResult &result)
{
    if (!result)
        return;
    if (const auto slowness = details::reportedSlowness(result->headers_, interface_))
        holdingTime_.recordSlowness(*slowness);
    if (result->status_ < firstServerError)
        holdingTime_.recordCompletion(base::monotonicNow() - run.startedAt_);
}

void Executor::Impl::finish(RunId id, admission::Outcome admissionOutcome,
                            const once::Outcome &outcome)
{
    const auto now = base::monotonicNow();
    const auto &run = runs_.at(id);
    const auto subKey = run.attempt_.subKey_;
    const auto waiter = run.waiter_;
    const auto serviceTime = now - run.startedAt_;
    usualTimes_.record(run.attempt_.requestClass_, now - run.arrivedAt_);
    removeRun(id);
    if (!isBaseline())
        perform(admission_.handle(admission::Finished{id, admissionOutcome, serviceTime}, now));
    if (subKey)
        reportToRecord(*subKey, outcome);
    else
        reply(waiter, outcome);
}

void Executor::Impl::reportToRecord(const once::SubKey &subKey, const once::Outcome &outcome)
{
    const auto event =
            std::visit(base::Overloaded{
                               [&](const once::Complete &complete) -> once::ExecutorEvent {
                                   return once::BackendAnswered{subKey, complete.answer_};
                               },
                               [&](const NotRun &why) -> once::ExecutorEvent {
                                   return once::Refused{subKey, why};
                               },
                               [&](const once::Unknown &why) -> once::ExecutorEvent {
                                   return once::BackendLost{subKey, why.reason_};
                               },
                       },
                       outcome);
    perform(once_->handle(event, base::monotonicNow()));
}

std::optional<std::string> Executor::Impl::scopeOf(std::string_view contextToken) const
{
    const auto found = runByContext_.find(std::string(contextToken));
    if (found == runByContext_.end())
        return std::nullopt;
    const auto &attempt = runs_.at(found->second).attempt_;
    return admission::scopeKey(attempt.requestClass_, attempt.customer_);
}

Executor::Impl::RunId Executor::Impl::findRun(const once::SubKey &subKey) const
{
    const auto found = runBySubKey_.find(subKey.text());
    return found != runBySubKey_.end() ? found->second : 0;
}

void Executor::Impl::admit(const once::Admit &order)
{
    if (!delegatedAttempt_)
        return;
    if (const auto refusal = refusalOf(*delegatedAttempt_)) {
        budgetLeft_ = delegatedAttempt_->budget_;
        reportToRecord(order.subKey_, *refusal);
        return;
    }
    const auto id = createRun(std::move(*delegatedAttempt_), order.startBy_);
    delegatedAttempt_.reset();
    if (!id) {
        reportToRecord(order.subKey_, NotRun{Reason::NoRoom, {}});
        return;
    }
    runBySubKey_.emplace(order.subKey_.text(), *id);
    requestAdmission(*id);
}

void Executor::Impl::abandon(RunId id)
{
    if (id == 0)
        return;
    removeRun(id);
    if (!isBaseline())
        perform(admission_.handle(admission::Cancelled{id}, base::monotonicNow()));
}

void Executor::Impl::returnQueue()
{
    std::vector<RunId> queued;
    for (const auto &[id, run] : runs_) {
        if (run.startedAt_ == base::Millis(0))
            queued.push_back(id);
    }
    const auto now = base::monotonicNow();
    for (const auto id : queued) {
        perform(admission_.handle(admission::Cancelled{id}, now));
        refuse(id, NotRun{Reason::Draining, {}});
    }
}

void Executor::Impl::backendLeaves()
{
    if (leavingTimer_ == 0)
        leavingTimer_ = reactor_.schedule(leavingQueueTime, [this] { returnQueue(); });
}

void Executor::Impl::perform(const std::vector<once::ExecutorCommand> &commands)
{
    for (const auto &command : commands) {
        std::visit(
                base::Overloaded{
                        [this](const once::Reply &order) { reply(order.waiter_, order.outcome_); },
                        [this](const once::ReplyReplaced &order) {
                            reply(order.waiter_, NotRun{Reason::OtherGeneration, {}}, true);
                        },
                        [this](const once::Admit &order) { admit(order); },
                        [this](const once::SendToBackend &order) {
                            if (const auto id = findRun(order.subKey_); id != 0)
                                send(id, order.timeLeft_);
                        },
                        [this](const once::Abandon &order) { abandon(findRun(order.subKey_)); },
                },
                command);
    }
}

Level Executor::Impl::repeatLevel(const std::string &scope, bool isRoot) const
{
    const bool isLimited = arrivalBudget_ && !isRoot;
    const auto ownLevel = isLimited ? arrivalBudget_->coveredLevel() : Level::all();
    if (repeatLevels_.size() == 0)
        return ownLevel;
    return repeatLevels_.effective(scope, ownLevel, base::monotonicNow());
}

void Executor::Impl::reply(AttemptId id, const once::Outcome &outcome, bool isReplaced)
{
    auto node = waiters_.extract(id);
    if (node.empty())
        return;
    const auto &waiter = node.mapped();
    AttemptAnswer answer;
    answer.outcome_ = outcome;
    answer.isReplaced_ = isReplaced;
    answer.budgetLeft_ = std::exchange(budgetLeft_, 0);
    answer.completedCalls_ = std::exchange(completedCalls_, 0);
    answer.queueing_ = std::exchange(queueing_, base::Millis());
    if (settings_.evenLoad_ && isServing())
        answer.load_ = loadReport();
    answer.isDraining_ = backend_.serving_ == model::ServingState::Draining;
    if (!isBaseline()) {
        const auto scope = admission::scopeKey(waiter.requestClass_, waiter.customer_);
        answer.levels_ = {.instance_ = admission_.level(),
                          .customer_ = admission_.level(waiter.customer_),
                          .downstream_ =
                                  levels_.effective(scope, Level::all(), base::monotonicNow()),
                          .repeats_ = repeatLevel(scope, waiter.isRoot_)};
    }
    waiter.answer_(std::move(answer));
}

} // namespace dock
