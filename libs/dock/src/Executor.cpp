#include <dock/Executor.h>

#include <utility>

#include <admission/EntryLevels.h>
#include <base/Clock.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <retry/ContextTable.h>

#include "details/ExecutorImpl.h"

namespace dock {

using admission::Level;
using once::NotRun;
using once::Reason;

Executor::Executor(net::Reactor &reactor, const settings::Settings &settings,
                   once::Incarnation self, retry::ContextTable &contexts, net::ByteBudget &budget,
                   const CallInterface &interface, BackendChanged onBackendChanged,
                   ContextFunction onContextEnded, ContextFunction onContextCancelled)
    : impl_(std::make_unique<Impl>(reactor, settings, std::move(self), contexts, budget, interface))
{
    impl_->onBackendChanged_ = std::move(onBackendChanged);
    impl_->onContextEnded_ = std::move(onContextEnded);
    impl_->onContextCancelled_ = std::move(onContextCancelled);
    impl_->scheduleTick();
}

Executor::~Executor()
{
    impl_->reactor_.cancel(impl_->timer_);
    impl_->reactor_.cancel(impl_->leavingTimer_);
}

AttemptId Executor::accept(Attempt attempt, AnswerFunction answer)
{
    const auto id = impl_->nextWaiter_++;
    const auto now = base::monotonicNow();
    auto &waiter = impl_->waiters_[id];
    waiter = {.answer_ = std::move(answer),
              .requestClass_ = attempt.requestClass_,
              .customer_ = attempt.customer_,
              .subKey_ = attempt.subKey_,
              .isRoot_ = attempt.depth_ == 0};
    if (attempt.kind_ == AttemptKind::QueryOutcome) {
        impl_->perform(impl_->once_->handle(once::OutcomeQueried{id, *attempt.subKey_}, now));
        return id;
    }
    if (attempt.kind_ == AttemptKind::Recall) {
        impl_->perform(impl_->once_->handle(once::Recalled{id, *attempt.subKey_}, now));
        return id;
    }
    if (attempt.subKey_) {
        const once::Delegated event{id, *attempt.subKey_, attempt.settledBelow_, attempt.timeLeft_};
        impl_->delegatedAttempt_ = std::move(attempt);
        impl_->perform(impl_->once_->handle(event, now));
        impl_->delegatedAttempt_.reset();
        return id;
    }
    if (const auto refusal = impl_->refusalOf(attempt)) {
        impl_->budgetLeft_ = attempt.budget_;
        impl_->reply(id, *refusal);
        return id;
    }
    const auto deadline = now + attempt.timeLeft_;
    const auto run = impl_->createRun(std::move(attempt), deadline);
    if (!run) {
        impl_->reply(id, NotRun{Reason::NoRoom, {}});
        return id;
    }
    impl_->runs_.at(*run).waiter_ = id;
    waiter.run_ = *run;
    impl_->requestAdmission(*run);
    return id;
}

void Executor::cancel(AttemptId id)
{
    auto node = impl_->waiters_.extract(id);
    if (node.empty())
        return;
    const auto &waiter = node.mapped();
    if (waiter.subKey_) {
        impl_->perform(impl_->once_->handle(once::WaiterDisconnected{id, *waiter.subKey_},
                                            base::monotonicNow()));
        return;
    }
    const auto run = impl_->runs_.find(waiter.run_);
    if (run == impl_->runs_.end())
        return;
    if (run->second.call_ != 0)
        impl_->client_.cancel(run->second.call_);
    impl_->onContextCancelled_(run->second.context_);
    impl_->abandon(waiter.run_);
}

void Executor::announce(const BackendServer &backend)
{
    impl_->lastAnnounced_ = base::monotonicNow();
    impl_->reactor_.cancel(std::exchange(impl_->leavingTimer_, 0));
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
    impl_->backendLeaves();
    auto backend = impl_->backend_;
    backend.serving_ = model::ServingState::Draining;
    impl_->applyBackend(std::move(backend));
}

void Executor::setIncarnation(once::Incarnation self)
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

void Executor::acceptOnly(drain::AcceptFunction accepts)
{
    impl_->accepts_ = std::move(accepts);
}

void Executor::returnQueue()
{
    impl_->returnQueue();
}

void Executor::configure(const model::Config &config)
{
    impl_->customers_ = config.customers_;
    impl_->configureAdmission();
}

std::string Executor::contextOf(std::string_view requestId) const
{
    const auto found = impl_->runByRequestId_.find(std::string(requestId));
    return found != impl_->runByRequestId_.end() ? impl_->runs_.at(found->second).context_
                                                 : std::string();
}

void Executor::observeLevel(std::string_view contextToken, std::string_view callee,
                            admission::Level level)
{
    if (const auto scope = impl_->scopeOf(contextToken))
        impl_->levels_.observe(*scope, callee, level, base::monotonicNow());
}

void Executor::observeRepeatLevel(std::string_view contextToken, std::string_view callee,
                                  admission::Level level)
{
    if (level == Level::all() && impl_->repeatLevels_.size() == 0)
        return;
    if (const auto scope = impl_->scopeOf(contextToken))
        impl_->repeatLevels_.observe(*scope, callee, level, base::monotonicNow());
}

retry::RepeatStatus Executor::repeats() const
{
    return impl_->arrivalBudget_ ? impl_->arrivalBudget_->status() : retry::RepeatStatus();
}

bool Executor::hasRepeatLevels() const
{
    return impl_->repeatLevels_.size() > 0;
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

const std::map<std::string, std::uint64_t> &Executor::backendFailures() const
{
    return impl_->backendLog_.counts();
}

} // namespace dock
