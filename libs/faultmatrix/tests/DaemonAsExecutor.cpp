#include <Daemon.h>

namespace {

/** Rank of the observed requests; the background load has a worse one. */
constexpr int protectedRank = 0;
constexpr int backgroundRank = 5;
constexpr const char *backgroundCustomer = "north";
constexpr admission::RequestId firstBackgroundId = 1'000'000;

} // namespace

void Daemon::onDelegate(const once::Delegate &command, const CallerRequest &request,
                        std::uint32_t calleeBudget, std::uint32_t depth, const Respond &respond)
{
    const once::WaiterId waiter = nextId_++;
    waiters_[waiter] = Waiter{respond, request};
    Job job;
    job.subKey_ = command.subKey_;
    job.request_ = request;
    job.calleeBudget_ = calleeBudget;
    job.depth_ = depth;
    const auto id = nextId_++;
    const bool isNew = findJob(command.subKey_) == 0;
    if (isNew)
        jobs_.emplace(id, std::move(job));
    const auto commands = executor_->handle(
            once::Delegated{waiter, command.subKey_, command.settledBelow_, command.timeLeft_},
            network_.now());
    const auto isAdmit = [](const auto &one) {
        return std::holds_alternative<once::Admit>(one);
    };
    if (isNew && std::none_of(commands.begin(), commands.end(), isAdmit))
        jobs_.erase(id);
    execute(commands);
}

void Daemon::onQuery(const once::SubKey &subKey, const Respond &respond)
{
    const once::WaiterId waiter = nextId_++;
    waiters_[waiter] = Waiter{respond, {}};
    dispatchToExecutor(once::OutcomeQueried{waiter, subKey});
}

void Daemon::onRecall(const once::SubKey &subKey, const Respond &respond)
{
    const once::WaiterId waiter = nextId_++;
    waiters_[waiter] = Waiter{respond, {}};
    dispatchToExecutor(once::Recalled{waiter, subKey});
}

void Daemon::dispatchToExecutor(const once::ExecutorEvent &event)
{
    execute(executor_->handle(event, network_.now()));
}

void Daemon::execute(const std::vector<once::ExecutorCommand> &commands)
{
    for (const auto &command : commands) {
        std::visit(base::Overloaded{
                           [&](const once::Reply &one) { reply(one, lastBudgetLeft_); },
                           [&](const once::ReplyReplaced &one) {
                               const auto waiter = waiters_.extract(one.waiter_);
                               waiter.mapped().respond_(Response{once::NotRun{}, true, {}});
                           },
                           [&](const once::Admit &one) { admit(one); },
                           [&](const once::SendToBackend &one) { sendToBackend(one); },
                           [&](const once::Abandon &one) {
                               endJob(findJob(one.subKey_), admission::Outcome::Cancelled);
                           },
                   },
                   command);
    }
}

admission::RequestId Daemon::findJob(const once::SubKey &subKey) const
{
    for (const auto &[id, job] : jobs_) {
        if (job.subKey_ == subKey)
            return id;
    }
    return 0;
}

void Daemon::admit(const once::Admit &admit)
{
    const auto id = findJob(admit.subKey_);
    if (drainingSince_) {
        jobs_.erase(id);
        dispatchToExecutor(once::Refused{admit.subKey_,
                                         once::NotRun{once::Reason::Draining, base::Millis(0)}});
        return;
    }
    const auto &request = jobs_.at(id).request_;
    const auto priority = admission::Priority::ofRoot(protectedRank, request.name_);
    dispatchToAdmission(
            admission::Arrived{id, priority, request.customer_, "redeem", admit.startBy_});
}

void Daemon::dispatchToAdmission(const admission::Event &event)
{
    for (const auto &command : admission_->handle(event, network_.now())) {
        if (const auto *refuse = std::get_if<admission::Refuse>(&command)) {
            onRefused(*refuse);
            continue;
        }
        const auto id = std::get<admission::Start>(command).id_;
        if (id >= firstBackgroundId) {
            network_.inProcess(id_, base::Millis(20), [=, this] {
                dispatchToAdmission(
                        admission::Finished{id, admission::Outcome::Ok, base::Millis(20)});
            });
            continue;
        }
        auto &job = jobs_.at(id);
        job.started_ = network_.now();
        network_.passPoint(
                Point{Step::Admitted, job.request_.hop_}, id_,
                [=, this, subKey = job.subKey_] { dispatchToExecutor(once::Admitted{subKey}); });
    }
}

void Daemon::onRefused(const admission::Refuse &refuse)
{
    const auto found = jobs_.find(refuse.id_);
    if (found == jobs_.end())
        return;
    if (refuse.reason_ == admission::RefusalReason::Overloaded
        && admission_->queued(backgroundRank) > 0)
        cluster_.history_.violations_.push_back(
                "request shed while a request of a worse rank was queued");
    const auto subKey = found->second.subKey_;
    jobs_.erase(found);
    const bool isOverloaded = refuse.reason_ == admission::RefusalReason::Overloaded;
    const auto reason = isOverloaded ? once::Reason::Overloaded : once::Reason::DeadlinePassed;
    dispatchToExecutor(once::Refused{subKey, once::NotRun{reason, refuse.retryAfter_}});
}

void Daemon::sendToBackend(const once::SendToBackend &command)
{
    const auto id = findJob(command.subKey_);
    auto &job = jobs_.at(id);
    if (drainingSince_ && network_.now() - *drainingSince_ > base::Millis(3'000))
        cluster_.history_.violations_.push_back(
                "request sent to a backend server more than 3 s after its drain began");
    job.token_ = contexts_
                         ->open({.customer_ = job.request_.customer_,
                                 .budget_ = retry::ChainBudget(job.calleeBudget_),
                                 .depth_ = job.depth_})
                         .value();
    const BackendRequest request{job.request_.name_, job.token_, job.request_.hop_,
                                 job.request_.customer_};
    const RemoteCall call{id_, backendProcess(), Point{Step::ToBackend, request.hop_},
                          Point{Step::AnswerToExecutor, request.hop_}, command.timeLeft_};
    network_.call(
            call, [this, request](const Respond &respond) { backend_.run(request, respond); },
            [this, id](const RemoteResult &result) { onBackendResult(id, result); });
}

void Daemon::onBackendResult(admission::RequestId id, const RemoteResult &result)
{
    auto &job = jobs_.at(id);
    const auto subKey = job.subKey_;
    lastBudgetLeft_ = contexts_->close(job.token_);
    dispatchToHome(once::ContextEnded{job.token_});
    if (result)
        dispatchToExecutor(
                once::BackendAnswered{subKey, std::get<once::Complete>(result->outcome_).answer_});
    else if (result.error() == once::SendFailure::NotSent)
        dispatchToExecutor(
                once::Refused{subKey, once::NotRun{once::Reason::BackendUnavailable, {}}});
    else
        dispatchToExecutor(once::BackendLost{subKey});
    lastBudgetLeft_.reset();
    endJob(id, result ? admission::Outcome::Ok : admission::Outcome::Failed);
}

void Daemon::endJob(admission::RequestId id, admission::Outcome outcome)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    const auto time = network_.now() - found->second.started_;
    jobs_.erase(found);
    dispatchToAdmission(admission::Finished{id, outcome, time});
}

void Daemon::generateBackgroundLoad(base::Millis until)
{
    if (network_.now() >= until)
        return;
    const auto id = firstBackgroundId + nextId_++;
    const auto priority = admission::Priority::ofRoot(backgroundRank, std::to_string(id));
    dispatchToAdmission(admission::Arrived{id, priority, backgroundCustomer, "balance",
                                           network_.now() + base::Millis(300)});
    network_.inProcess(id_, base::Millis(5), [=, this] { generateBackgroundLoad(until); });
}
