#include <dock/Executor.h>

#include <unordered_map>

#include <admission/Core.h>
#include <admission/DownstreamLevels.h>
#include <base/Clock.h>
#include <base/Overloaded.h>
#include <dock/AttemptCodec.h>
#include <dock/HeaderNames.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>
#include <once/Executor.h>
#include <retry/ContextTable.h>
#include <settings/Settings.h>

namespace dock {

namespace {

using admission::Level;
using once::NotRun;
using once::Reason;

constexpr base::Millis tickInterval(20);

/** Silence of the backend server after which it counts as absent. */
constexpr base::Millis announcementLease(5000);

NotRun notRunOf(const admission::Refuse &refusal)
{
    switch (refusal.reason_) {
    case admission::RefusalReason::CannotFinish:
        return {Reason::DeadlinePassed, refusal.retryAfter_};
    case admission::RefusalReason::NotServing:
        return {Reason::NoInstance, refusal.retryAfter_};
    case admission::RefusalReason::Overloaded:
    case admission::RefusalReason::CustomerLimit:
        break;
    }
    return {Reason::Overloaded, refusal.retryAfter_};
}

once::AnswerPtr answerOf(net::HttpResponse response)
{
    auto answer = std::make_shared<once::Answer>();
    answer->status_ = response.status_;
    for (auto &[name, value] : response.headers_) {
        if (!isHopByHop(name) && !net::equalsIgnoringCase(name, header::outcome))
            answer->headers_.emplace_back(std::move(name), std::move(value));
    }
    answer->body_ = std::move(response.body_);
    return answer;
}

admission::Outcome admissionOutcomeOf(const net::Failure &failure)
{
    if (failure.kind_ == net::FailureKind::TimedOut)
        return admission::Outcome::Cancelled;
    return admission::Outcome::Failed;
}

} // namespace

struct Executor::Impl
{
    using RunId = admission::RequestId;

    /** A request between its arrival and its end. */
    struct Run
    {
        Attempt attempt_;
        base::Millis deadline_;
        base::Millis arrivedAt_;
        base::Millis startedAt_; ///< 0 until it has a slot
        std::string context_;    ///< token of its running call
        net::CallId call_ = 0;
        AttemptId waiter_ = 0; ///< of an idempotent request
    };

    /** An attempt that waits for its answer. */
    struct Waiter
    {
        AnswerFunction answer_;
        std::string requestClass_;
        std::string customer_;
        RunId run_ = 0; ///< of an idempotent request
        std::optional<once::SubKey> subKey_;
    };

    Impl(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
         retry::ContextTable &contexts)
        : reactor_(reactor)
        , settings_(settings)
        , contexts_(contexts)
        , client_(reactor, settings.maxBodyBytes_)
    {
        createRecord(std::move(self));
    }

    bool isServing() const { return backend_.serving_ == model::ServingState::Ready; }
    bool isBaseline() const { return settings_.mode_ == settings::Mode::Baseline; }
    std::optional<NotRun> refusalOf(const Attempt &attempt) const;
    std::uint32_t admissionSlots() const;
    RunId runOf(const once::SubKey &subKey) const;

    void createRecord(once::Incarnation self);
    void tick();
    void applyBackend(BackendServer backend);
    void configureAdmission();
    std::optional<RunId> createRun(Attempt attempt, base::Millis startBy);
    void removeRun(RunId id);
    void arrive(RunId id);
    void start(RunId id);
    void refuse(RunId id, const NotRun &why);
    void send(RunId id, base::Millis timeLeft);
    void backendDone(RunId id, net::CallResult result);
    void finish(RunId id, admission::Outcome admissionOutcome, const once::Outcome &outcome);
    void tellRecord(const once::SubKey &subKey, const once::Outcome &outcome);
    void reply(AttemptId waiter, const once::Outcome &outcome, bool isReplaced = false);
    void admit(const once::Admit &order);
    void abandon(RunId id);
    void perform(const std::vector<admission::Command> &commands);
    void perform(const std::vector<once::ExecutorCommand> &commands);

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    retry::ContextTable &contexts_;
    net::HttpClient client_;
    admission::Core admission_;
    admission::DownstreamLevels levels_;
    std::optional<once::Executor> once_;
    BackendChanged onBackendChanged_;
    ContextEnded onContextEnded_;
    BackendServer backend_;
    base::Millis lastAnnounced_;
    std::map<std::string, model::Customer> customers_;
    bool isDraining_ = false;

    std::unordered_map<RunId, Run> runs_;
    std::unordered_map<std::string, RunId> runOfSubKey_;
    std::unordered_map<std::string, RunId> runOfContext_;
    std::unordered_map<AttemptId, Waiter> waiters_;
    base::Millis queueing_;            ///< of the run that ended last; reported by one answer
    std::uint32_t budgetLeft_ = 0;     ///< of the run that ended last; reported by one answer
    std::optional<Attempt> delegated_; ///< while the once-only record decides on it
    RunId nextRun_ = 1;
    AttemptId nextWaiter_ = 1;
    net::TimerId timer_ = 0;
};

void Executor::Impl::createRecord(once::Incarnation self)
{
    once_.emplace(std::move(self), once::ExecutorSettings{.maxRecords_ = settings_.onceRecords_,
                                                          .maxAnswerBytes_ = settings_.onceBytes_,
                                                          .keepFinished_ = settings_.keyLifetime_});
}

void Executor::Impl::tick()
{
    const auto now = base::monotonicNow();
    perform(admission_.handle(admission::Tick{}, now));
    levels_.prune(now);
    if (isServing() && now - lastAnnounced_ > announcementLease) {
        events::log(events::backendSilent, "service=" + backend_.service_);
        auto backend = backend_;
        backend.serving_ = model::ServingState::Absent;
        applyBackend(backend);
    }
    timer_ = reactor_.schedule(tickInterval, [this] { tick(); });
}

std::optional<NotRun> Executor::Impl::refusalOf(const Attempt &attempt) const
{
    if (isServing() && attempt.service_ == backend_.service_)
        return std::nullopt;
    const bool isLeaving = isDraining_ || backend_.serving_ == model::ServingState::Draining;
    return NotRun{isLeaving ? Reason::Draining : Reason::NoInstance, {}};
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
    backend_ = std::move(backend);
    configureAdmission();
    onBackendChanged_(backend_);
}

std::optional<Executor::Impl::RunId> Executor::Impl::createRun(Attempt attempt,
                                                               base::Millis startBy)
{
    auto token
            = contexts_.open({.priority_ = static_cast<std::uint32_t>(attempt.priority_.packed()),
                              .customer_ = attempt.customer_,
                              .deadline_ = startBy,
                              .budget_ = retry::ChainBudget(attempt.budget_),
                              .depth_ = attempt.depth_});
    if (!token)
        return std::nullopt;
    const auto id = nextRun_++;
    runOfContext_.emplace(*token, id);
    runs_.emplace(id, Run{.attempt_ = std::move(attempt),
                          .deadline_ = startBy,
                          .arrivedAt_ = base::monotonicNow(),
                          .context_ = std::move(*token)});
    return id;
}

void Executor::Impl::removeRun(RunId id)
{
    auto node = runs_.extract(id);
    if (node.empty())
        return;
    const auto &run = node.mapped();
    budgetLeft_ = contexts_.close(run.context_);
    const bool hasStarted = run.startedAt_ > base::Millis(0);
    queueing_ = (hasStarted ? run.startedAt_ : base::monotonicNow()) - run.arrivedAt_;
    runOfContext_.erase(run.context_);
    onContextEnded_(run.context_);
    if (const auto &subKey = run.attempt_.subKey_)
        runOfSubKey_.erase(subKey->text());
}

void Executor::Impl::arrive(RunId id)
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
    perform(admission_.handle(event, base::monotonicNow()));
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
        tellRecord(*subKey, why);
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
    auto request = run.attempt_.subKey_ ? run.attempt_.request_ : std::move(run.attempt_.request_);
    std::erase_if(request.headers_, [](const net::Header &field) {
        return isHopByHop(field.name_) || net::equalsIgnoringCase(field.name_, header::deadlineMs)
               || net::equalsIgnoringCase(field.name_, header::context);
    });
    request.headers_.push_back({"Fuchsiadock-Deadline-Ms", std::to_string(timeLeft.count())});
    request.headers_.push_back({"Fuchsiadock-Context", run.context_});
    run.call_ = client_.send(
            backend_.address_, std::move(request), timeLeft,
            [this, id](net::CallResult result) { backendDone(id, std::move(result)); });
}

void Executor::Impl::backendDone(RunId id, net::CallResult result)
{
    if (!runs_.contains(id))
        return;
    if (!result) {
        const bool isUnsent = result.error().kind_ == net::FailureKind::NotSent;
        const once::Outcome outcome
                = isUnsent ? once::Outcome(NotRun{Reason::BackendUnavailable, {}})
                           : once::Outcome(once::Unknown{Reason::AnswerLost});
        finish(id, admissionOutcomeOf(result.error()), outcome);
        return;
    }
    if (net::headerValue(result->headers_, header::outcome) == "not-run") {
        finish(id, admission::Outcome::Shed, NotRun{Reason::BackendRefused, {}});
        return;
    }
    finish(id, admission::Outcome::Ok, once::Complete{answerOf(std::move(*result))});
}

void Executor::Impl::finish(RunId id, admission::Outcome admissionOutcome,
                            const once::Outcome &outcome)
{
    const auto now = base::monotonicNow();
    const auto &run = runs_.at(id);
    const auto subKey = run.attempt_.subKey_;
    const auto waiter = run.waiter_;
    const auto serviceTime = now - run.startedAt_;
    removeRun(id);
    if (!isBaseline())
        perform(admission_.handle(admission::Finished{id, admissionOutcome, serviceTime}, now));
    if (subKey)
        tellRecord(*subKey, outcome);
    else
        reply(waiter, outcome);
}

void Executor::Impl::tellRecord(const once::SubKey &subKey, const once::Outcome &outcome)
{
    const auto event
            = std::visit(base::Overloaded{
                                 [&](const once::Complete &complete) -> once::ExecutorEvent {
                                     return once::BackendAnswered{subKey, complete.answer_};
                                 },
                                 [&](const NotRun &why) -> once::ExecutorEvent {
                                     return once::Refused{subKey, why};
                                 },
                                 [&](const once::Unknown &) -> once::ExecutorEvent {
                                     return once::BackendLost{subKey};
                                 },
                         },
                         outcome);
    perform(once_->handle(event, base::monotonicNow()));
}

Executor::Impl::RunId Executor::Impl::runOf(const once::SubKey &subKey) const
{
    const auto found = runOfSubKey_.find(subKey.text());
    return found != runOfSubKey_.end() ? found->second : 0;
}

void Executor::Impl::admit(const once::Admit &order)
{
    if (!delegated_)
        return;
    if (const auto refusal = refusalOf(*delegated_)) {
        budgetLeft_ = delegated_->budget_;
        tellRecord(order.subKey_, *refusal);
        return;
    }
    const auto id = createRun(std::move(*delegated_), order.startBy_);
    delegated_.reset();
    if (!id) {
        tellRecord(order.subKey_, NotRun{Reason::NoRoom, {}});
        return;
    }
    runOfSubKey_.emplace(order.subKey_.text(), *id);
    arrive(*id);
}

void Executor::Impl::abandon(RunId id)
{
    if (id == 0)
        return;
    removeRun(id);
    if (!isBaseline())
        perform(admission_.handle(admission::Cancelled{id}, base::monotonicNow()));
}

void Executor::Impl::perform(const std::vector<once::ExecutorCommand> &commands)
{
    for (const auto &command : commands) {
        std::visit(base::Overloaded{
                           [this](const once::Reply &told) { reply(told.waiter_, told.outcome_); },
                           [this](const once::ReplyReplaced &told) {
                               reply(told.waiter_, NotRun{Reason::OtherGeneration, {}}, true);
                           },
                           [this](const once::Admit &order) { admit(order); },
                           [this](const once::SendToBackend &order) {
                               if (const auto id = runOf(order.subKey_); id != 0)
                                   send(id, order.timeLeft_);
                           },
                           [this](const once::Abandon &order) { abandon(runOf(order.subKey_)); },
                   },
                   command);
    }
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
    answer.queueing_ = std::exchange(queueing_, base::Millis());
    answer.isLeaving_ = backend_.serving_ == model::ServingState::Draining;
    answer.level_ = Level::all();
    if (!isBaseline())
        answer.level_ = levels_.effective(waiter.requestClass_, admission_.level(waiter.customer_),
                                          base::monotonicNow());
    waiter.answer_(std::move(answer));
}

Executor::Executor(net::Reactor &reactor, const settings::Settings &settings,
                   once::Incarnation self, retry::ContextTable &contexts,
                   BackendChanged onBackendChanged, ContextEnded onContextEnded)
    : impl_(std::make_unique<Impl>(reactor, settings, std::move(self), contexts))
{
    impl_->onBackendChanged_ = std::move(onBackendChanged);
    impl_->onContextEnded_ = std::move(onContextEnded);
    impl_->timer_ = reactor.schedule(tickInterval, [impl = impl_.get()] { impl->tick(); });
}

Executor::~Executor()
{
    impl_->reactor_.cancel(impl_->timer_);
}

AttemptId Executor::accept(Attempt attempt, AnswerFunction answer)
{
    const auto id = impl_->nextWaiter_++;
    const auto now = base::monotonicNow();
    auto &waiter = impl_->waiters_[id];
    waiter = {.answer_ = std::move(answer),
              .requestClass_ = attempt.requestClass_,
              .customer_ = attempt.customer_,
              .subKey_ = attempt.subKey_};
    if (attempt.kind_ == AttemptKind::Ask) {
        impl_->perform(impl_->once_->handle(once::Asked{id, *attempt.subKey_}, now));
        return id;
    }
    if (attempt.subKey_) {
        const once::Delegated event{id, *attempt.subKey_, attempt.settledBelow_, attempt.timeLeft_};
        impl_->delegated_ = std::move(attempt);
        impl_->perform(impl_->once_->handle(event, now));
        impl_->delegated_.reset();
        return id;
    }
    if (const auto refusal = impl_->refusalOf(attempt)) {
        impl_->budgetLeft_ = attempt.budget_;
        impl_->reply(id, *refusal);
        return id;
    }
    const auto startBy = now + attempt.timeLeft_;
    const auto run = impl_->createRun(std::move(attempt), startBy);
    if (!run) {
        impl_->reply(id, NotRun{Reason::NoRoom, {}});
        return id;
    }
    impl_->runs_.at(*run).waiter_ = id;
    waiter.run_ = *run;
    impl_->arrive(*run);
    return id;
}

void Executor::cancel(AttemptId id)
{
    auto node = impl_->waiters_.extract(id);
    if (node.empty())
        return;
    const auto &waiter = node.mapped();
    if (waiter.subKey_) {
        impl_->perform(
                impl_->once_->handle(once::WaiterGone{id, *waiter.subKey_}, base::monotonicNow()));
        return;
    }
    const auto run = impl_->runs_.find(waiter.run_);
    if (run == impl_->runs_.end())
        return;
    if (run->second.call_ != 0)
        impl_->client_.cancel(run->second.call_);
    impl_->abandon(waiter.run_);
}

void Executor::announce(const BackendServer &backend)
{
    impl_->lastAnnounced_ = base::monotonicNow();
    if (impl_->backend_.serving_ == model::ServingState::Absent)
        events::log(events::backendAnnounced,
                    "service=" + backend.service_ + " slots=" + std::to_string(backend.slots_));
    auto announced = backend;
    announced.serving_ = model::ServingState::Ready;
    impl_->applyBackend(std::move(announced));
}

void Executor::reportLoad(double utilisation)
{
    impl_->perform(
            impl_->admission_.handle(admission::LoadReported{utilisation}, base::monotonicNow()));
}

void Executor::backendLeft()
{
    events::log(events::backendLeft, "service=" + impl_->backend_.service_);
    auto backend = impl_->backend_;
    backend.serving_ = model::ServingState::Draining;
    impl_->applyBackend(std::move(backend));
}

void Executor::adopt(once::Incarnation self)
{
    impl_->createRecord(std::move(self));
    std::vector<AttemptId> orphans;
    for (const auto &[id, waiter] : impl_->waiters_) {
        if (waiter.subKey_)
            orphans.push_back(id);
    }
    for (const auto id : orphans)
        impl_->reply(id, once::Unknown{Reason::OtherGeneration});
}

void Executor::drain()
{
    impl_->isDraining_ = true;
    impl_->applyBackend(impl_->backend_);
}

void Executor::configure(const model::Config &config)
{
    impl_->customers_ = config.customers_;
    impl_->configureAdmission();
}

void Executor::observeLevel(std::string_view contextToken, std::string_view callee,
                            admission::Level level)
{
    const auto found = impl_->runOfContext_.find(std::string(contextToken));
    if (found == impl_->runOfContext_.end())
        return;
    const auto &requestClass = impl_->runs_.at(found->second).attempt_.requestClass_;
    impl_->levels_.observe(requestClass, callee, level, base::monotonicNow());
}

std::size_t Executor::activeCount() const
{
    return impl_->runs_.size();
}

const BackendServer &Executor::backend() const
{
    return impl_->backend_;
}

std::uint32_t Executor::limit() const
{
    return impl_->admission_.limit();
}

Level Executor::level() const
{
    return impl_->admission_.level();
}

} // namespace dock
