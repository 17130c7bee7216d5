#include <Daemon.h>

void Daemon::dispatchToHome(const once::HomeEvent &event)
{
    const auto commands = home_->handle(event, network_.now());
    for (const auto &command : commands) {
        std::visit(base::Overloaded{
                           [&](const once::Reply &one) { reply(one, std::nullopt); },
                           [&](const once::ChooseExecutor &one) { choose(one); },
                           [&](const once::Delegate &one) { delegate(one); },
                           [&](const once::QueryOutcome &one) { queryOutcome(one); },
                           [&](const once::Recall &one) { recall(one); },
                           [&](const once::Release &one) { release(one.record_); },
                   },
                   command);
    }
    scheduleWakeUp();
}

void Daemon::scheduleWakeUp()
{
    const auto due = home_->nextWakeUp();
    if (due >= wakeUpAt_ || due >= base::Millis::max())
        return;
    wakeUpAt_ = due;
    network_.inProcess(id_, std::max(due - network_.now(), base::Millis(0)), [this] {
        wakeUpAt_ = base::Millis::max();
        dispatchToHome(once::WakeUp{});
    });
}

void Daemon::reply(const once::Reply &reply, std::optional<std::uint32_t> budgetLeft)
{
    const auto found = waiters_.find(reply.waiter_);
    if (found == waiters_.end())
        return;
    const auto waiter = std::move(found->second);
    waiters_.erase(found);
    waiter.respond_(Response{reply.outcome_, false, budgetLeft});
}

/**
 * Obtains the next attempt from retry_: starts the call at attempt 1, and on later attempts reports
 * that the previous attempt did not run.
 */
void Daemon::choose(const once::ChooseExecutor &choose)
{
    if (choose.attempt_ == 1) {
        auto &record = records_[choose.record_];
        record.request_ = waiters_.at(choose.waiter_).request_;
        retry::CallStarted event{.call_ = choose.record_,
                                 .customer_ = record.request_.customer_,
                                 .requestClass_ = record.request_.service_,
                                 .ratio_ = 1,
                                 .deadline_ = network_.now() + record.request_.timeLeft_};
        if (record.request_.context_.empty())
            event.origin_ = retry::RootCall{cluster_.budget_};
        else
            event.origin_ = retry::ChildCall{record.request_.context_};
        executeRetry(choose.record_, retry_->handle(event, network_.now()), choose.notRun_);
        return;
    }
    auto &record = records_.at(choose.record_);
    retry::AttemptEnded event{.call_ = choose.record_,
                              .attempt_ = record.attempt_,
                              .result_ = retry::AttemptResult::NotRun,
                              .instance_ = record.instance_,
                              .budgetLeft_ = record.budgetLeft_};
    if (!choose.wasSent_)
        event.result_ = retry::AttemptResult::NotSent;
    else if (choose.notRun_.reason_ == once::Reason::Overloaded)
        event.result_ = retry::AttemptResult::Overloaded;
    executeRetry(choose.record_, retry_->handle(event, network_.now()), choose.notRun_);
}

void Daemon::executeRetry(once::RecordId id, const std::vector<retry::Command> &commands,
                          const once::NotRun &notRun)
{
    for (const auto &command : commands) {
        if (const auto *start = std::get_if<retry::StartAttempt>(&command))
            network_.inProcess(id_, start->delay_, [=, this, start = *start] { route(id, start); });
        else
            dispatchToHome(once::NotChosen{id, notRun});
    }
}

void Daemon::route(once::RecordId id, const retry::StartAttempt &start)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return;
    auto &record = found->second;
    record.attempt_ = start.attempt_;
    record.calleeBudget_ = start.calleeBudget_;
    record.budgetLeft_.reset();
    const auto priority = admission::Priority::ofRoot(0, record.request_.name_);
    const auto choice = routing_->choose(record.request_.service_, priority,
                                         start.excludedInstances_, network_.now());
    if (!hasConfig_ || !choice) {
        dispatchToHome(
                once::NotChosen{id, once::NotRun{once::Reason::NoInstance, base::Millis(100)}});
        return;
    }
    record.instance_ = choice->member_->id_;
    const once::Incarnation executor{choice->member_->id_, choice->member_->generation_};
    ++cluster_.history_.attempts_;
    cluster_.history_.firstCalls_ += start.attempt_ == 1;
    network_.passPoint(Point{Step::Routed, record.request_.hop_}, id_, [=, this] {
        dispatchToHome(once::Chosen{id, executor});
    });
}

void Daemon::delegate(const once::Delegate &command)
{
    const auto &record = records_.at(command.record_);
    const auto *parent = contexts_->find(record.request_.context_);
    const std::uint32_t depth = parent ? parent->depth_ + 1 : 0;
    const auto request = record.request_;
    const auto calleeBudget = record.calleeBudget_;
    for (std::size_t other = 0; other < cluster_.daemons_.size(); ++other) {
        auto &executor = *cluster_.daemons_[other];
        if (executor.self_.id_ != command.subKey_.executor_.id_)
            continue;
        routing_->handle(routing::CallSent{executor.self_.id_, {}}, network_.now());
        const RemoteCall call{id_, other, Point{Step::ToExecutor, request.hop_},
                              Point{Step::AnswerToHome, request.hop_},
                              command.timeLeft_ + base::Millis(50)};
        network_.call(
                call,
                [=, &executor](const Respond &respond) {
                    executor.onDelegate(command, request, calleeBudget, depth, respond);
                },
                [=, this](const RemoteResult &result) {
                    onExecutorResult(command.subKey_, command.record_, result);
                });
    }
}

void Daemon::queryOutcome(const once::QueryOutcome &command)
{
    for (std::size_t other = 0; other < cluster_.daemons_.size(); ++other) {
        auto &executor = *cluster_.daemons_[other];
        if (executor.self_.id_ != command.subKey_.executor_.id_)
            continue;
        network_.call(
                {id_, other, std::nullopt, std::nullopt, base::Millis(500)},
                [&executor, command](const Respond &respond) {
                    executor.onQuery(command.subKey_, respond);
                },
                [=, this](const RemoteResult &result) {
                    onExecutorResult(command.subKey_, std::nullopt, result);
                });
    }
}

void Daemon::recall(const once::Recall &command)
{
    for (std::size_t other = 0; other < cluster_.daemons_.size(); ++other) {
        auto &executor = *cluster_.daemons_[other];
        if (executor.self_.id_ != command.subKey_.executor_.id_)
            continue;
        network_.call(
                {id_, other, std::nullopt, std::nullopt, base::Millis(500)},
                [&executor, command](const Respond &respond) {
                    executor.onRecall(command.subKey_, respond);
                },
                [=, this](const RemoteResult &result) {
                    const bool isRefused =
                            result && !result->isReplaced_
                            && std::holds_alternative<once::NotRun>(result->outcome_);
                    if (isRefused)
                        onExecutorResult(command.subKey_, std::nullopt, result);
                });
    }
}

/** Handles the result of a message to an executor: a delegation if id is set, else a query. */
void Daemon::onExecutorResult(const once::SubKey &subKey, std::optional<once::RecordId> id,
                              const RemoteResult &result)
{
    if (id) {
        if (result)
            routing_->handle(routing::CallAnswered{.instance_ = subKey.executor_.id_},
                             network_.now());
        else
            routing_->handle(routing::CallFailed{subKey.executor_.id_, routing::FailureKind::Lost},
                             network_.now());
        if (const auto found = records_.find(*id); result && found != records_.end())
            found->second.budgetLeft_ = result->budgetLeft_;
    }
    if (!result)
        dispatchToHome(once::SendFailed{subKey, result.error()});
    else if (result->isReplaced_)
        dispatchToHome(once::ExecutorReplaced{subKey});
    else
        dispatchToHome(once::ExecutorReplied{subKey, result->outcome_});
}

void Daemon::release(once::RecordId id)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return;
    retry_->handle(retry::AttemptEnded{.call_ = id,
                                       .attempt_ = found->second.attempt_,
                                       .budgetLeft_ = found->second.budgetLeft_},
                   network_.now());
    retry_->handle(retry::CallEnded{id}, network_.now());
    records_.erase(found);
}
