#include <dock/KeyedCalls.h>

#include <algorithm>

#include <base/Clock.h>
#include <base/Hash.h>
#include <base/Overloaded.h>

namespace dock {

namespace {

/** Timeout of an outcome query, which the home repeats, or recall. */
constexpr base::Millis controlTimeout(1000);

/** Digest that detects the use of one key for different requests. */
std::uint64_t digestOf(const net::HttpRequest &request)
{
    return base::hash64(request.body_,
                        base::hash64(request.target_, base::hash64(request.method_)));
}

once::SendFailure sendFailureOf(net::FailureKind kind)
{
    return kind == net::FailureKind::NotSent ? once::SendFailure::NotSent : once::SendFailure::Lost;
}

} // namespace

KeyedCalls::KeyedCalls(net::Reactor &reactor, once::Home &home, retry::Core &retry,
                       InstanceSelector &selector, AttemptSender &sender, FindMember findMember,
                       RedelegationFunction onRedelegated)
    : reactor_(reactor)
    , home_(home)
    , retry_(retry)
    , selector_(selector)
    , sender_(sender)
    , findMember_(std::move(findMember))
    , onRedelegated_(std::move(onRedelegated))
{}

KeyedCalls::~KeyedCalls()
{
    *isAlive_ = false;
    reactor_.cancel(wakeUpTimer_);
}

once::WaiterId KeyedCalls::start(CallInfo call,
                                 const std::variant<once::Key, once::ContextKey> &key, Done done)
{
    const auto id = nextWaiter_++;
    const once::Request event{.waiter_ = id,
                              .key_ = key,
                              .customer_ = call.keyCustomer_,
                              .service_ = call.service_,
                              .digest_ = digestOf(call.request_),
                              .deadline_ = call.deadline_};
    waiters_[id] = {std::move(call), std::move(done)};
    // Posted, so that done is never called before start() has returned the waiter's id.
    reactor_.post([this, event, alive = isAlive_] {
        if (*alive && waiters_.contains(event.waiter_))
            dispatch(event);
    });
    return id;
}

void KeyedCalls::cancel(once::WaiterId id)
{
    if (waiters_.erase(id) > 0)
        dispatch(once::CallerDisconnected{id});
}

void KeyedCalls::withdraw(once::WaiterId id, const once::NotRun &notRun)
{
    dispatch(once::Withdrawn{id, notRun});
}

void KeyedCalls::abandonAll()
{
    const auto now = base::monotonicNow();
    for (const auto &[id, record] : std::exchange(records_, {}))
        retry_.handle(retry::CallEnded{id}, now);
    for (const auto &[id, waiter] : std::exchange(waiters_, {}))
        waiter.done_(once::Unknown{once::Reason::OtherGeneration}, waiter.report_);
}

void KeyedCalls::contextEnded(const std::string &token)
{
    dispatch(once::ContextEnded{token});
}

std::string KeyedCalls::executorOf(once::WaiterId id) const
{
    const auto found = std::find_if(records_.begin(), records_.end(),
                                    [id](const auto &entry) { return entry.second.waiter_ == id; });
    const bool isSent = found != records_.end() && !found->second.triedInstances_.empty();
    return isSent ? found->second.triedInstances_.back() : std::string();
}

void KeyedCalls::dispatch(const once::HomeEvent &event)
{
    perform(home_.handle(event, base::monotonicNow()));
    scheduleWakeUp();
}

void KeyedCalls::perform(const std::vector<once::HomeCommand> &commands)
{
    for (const auto &command : commands) {
        std::visit(base::Overloaded{
                           [this](const once::Reply &order) { reply(order); },
                           [this](const once::ChooseExecutor &order) { chooseExecutor(order); },
                           [this](const once::Delegate &order) { delegate(order); },
                           [this](const once::QueryOutcome &order) { queryOutcome(order); },
                           [this](const once::Recall &order) { recall(order); },
                           [this](const once::Release &order) { release(order); },
                   },
                   command);
    }
}

void KeyedCalls::reply(const once::Reply &order)
{
    auto node = waiters_.extract(order.waiter_);
    if (!node.empty())
        node.mapped().done_(order.outcome_, node.mapped().report_);
}

void KeyedCalls::chooseExecutor(const once::ChooseExecutor &order)
{
    const auto now = base::monotonicNow();
    if (order.attempt_ == 1) {
        const auto waiter = waiters_.find(order.waiter_);
        if (waiter == waiters_.end()) {
            dispatch(once::NotChosen{order.record_, {once::Reason::Cancelled, {}}});
            return;
        }
        auto &record = records_[order.record_];
        record.waiter_ = order.waiter_;
        // The record takes the request from the first waiter; other waiters do not need theirs.
        record.info_ = std::move(waiter->second.info_);
        const auto &info = record.info_;
        auto event = callStartedEvent(order.record_, info);
        event.idempotent_ = false;
        perform(retry_.handle(event, now));
        return;
    }
    const auto found = records_.find(order.record_);
    if (found == records_.end())
        return;
    found->second.redelegation_ = {.attempt_ = order.attempt_,
                                   .allowedBy_ = order.notRun_,
                                   .wasSent_ = order.wasSent_,
                                   .previousExecutor_ = order.last_};
    const bool isRefusedByBackend = order.wasSent_ && isBackendRefusal(order.notRun_);
    if (isRefusedByBackend)
        found->second.info_.repeat_ = retry::RepeatKind::AfterRefusal;
    const retry::AttemptEnded event{.call_ = order.record_,
                                    .attempt_ = found->second.attempt_.attempt_,
                                    .result_ = order.wasSent_ ? attemptResultOf(order.notRun_)
                                                              : retry::AttemptResult::NotSent,
                                    .instance_ = order.last_ ? order.last_->id_ : std::string(),
                                    .budgetLeft_ =
                                            std::exchange(found->second.budgetLeft_, std::nullopt),
                                    .reachedBackend_ = isRefusedByBackend};
    if (event.result_ == retry::AttemptResult::HandedBack)
        ++found->second.info_.handBacks_;
    const auto commands = retry_.handle(event, now);
    for (const auto &command : commands) {
        if (std::holds_alternative<retry::GiveUp>(command)) {
            dispatch(once::NotChosen{order.record_, order.notRun_});
            return;
        }
    }
    perform(commands);
}

void KeyedCalls::perform(const std::vector<retry::Command> &commands)
{
    for (const auto &command : commands) {
        if (std::holds_alternative<retry::GiveUp>(command)) {
            const auto record = std::get<retry::GiveUp>(command).call_;
            dispatch(once::NotChosen{record, {once::Reason::NoRoom, {}}});
            continue;
        }
        const auto &order = std::get<retry::StartAttempt>(command);
        if (order.delay_ <= base::Millis(0)) {
            selectInstance(order);
            continue;
        }
        reactor_.schedule(order.delay_, [this, order, alive = isAlive_] {
            if (*alive)
                selectInstance(order);
        });
    }
}

void KeyedCalls::selectInstance(const retry::StartAttempt &order)
{
    const auto found = records_.find(order.call_);
    if (found == records_.end())
        return;
    auto &record = found->second;
    record.attempt_ = order;
    const auto selected = selector_.select(record.info_, order.excludedInstances_,
                                           record.triedInstances_, base::monotonicNow());
    if (!selected) {
        dispatch(once::NotChosen{order.call_, selected.error()});
        return;
    }
    const auto &member = selected->member_;
    record.routingPriority_ = selected->routingPriority_;
    record.maxWait_ = selected->maxWait_;
    record.triedInstances_.push_back(member.id_);
    dispatch(once::Chosen{order.call_, {member.id_, member.generation_}});
}

// Posted, as the commands of the home are still being processed.
void KeyedCalls::reportNotSent(const once::SubKey &subKey)
{
    reactor_.post([this, subKey, alive = isAlive_] {
        if (*alive)
            executorAnswered(subKey, tl::unexpected(net::FailureKind::NotSent));
    });
}

void KeyedCalls::delegate(const once::Delegate &order)
{
    const auto record = records_.find(order.record_);
    const auto *member = findMember_(order.subKey_.executor_.id_);
    if (record == records_.end() || member == nullptr) {
        reportNotSent(order.subKey_);
        return;
    }
    if (auto &redelegation = record->second.redelegation_; redelegation.attempt_ > 0) {
        redelegation.nextExecutor_ = order.subKey_.executor_;
        onRedelegated_(record->second.info_, redelegation);
    }
    auto attempt = makeAttempt(record->second.info_, record->second.attempt_.calleeBudget_,
                               base::monotonicNow());
    attempt.timeLeft_ = order.timeLeft_;
    attempt.maxWait_ = record->second.maxWait_;
    attempt.subKey_ = order.subKey_;
    attempt.settledBelow_ = order.settledBelow_;
    sender_.send({*member, record->second.routingPriority_}, std::move(attempt),
                 [this, order](SendResult result) { delegationDone(order, std::move(result)); });
}

void KeyedCalls::delegationDone(const once::Delegate &order, SendResult result)
{
    if (const auto found = records_.find(order.record_); found != records_.end()) {
        auto &record = found->second;
        const auto waiter = waiters_.find(record.waiter_);
        if (waiter != waiters_.end())
            ++waiter->second.report_.attempts_;
        if (result) {
            record.budgetLeft_ = result->budgetLeft_;
            selector_.observe(record.info_, result->levels_, base::monotonicNow());
            if (waiter != waiters_.end())
                waiter->second.report_.queueing_ = result->queueing_;
        }
    }
    executorAnswered(order.subKey_, std::move(result));
}

void KeyedCalls::queryOutcome(const once::QueryOutcome &order)
{
    const auto *member = findMember_(order.subKey_.executor_.id_);
    if (member == nullptr) {
        reportNotSent(order.subKey_);
        return;
    }
    Attempt attempt{.kind_ = AttemptKind::QueryOutcome,
                    .timeLeft_ = controlTimeout,
                    .subKey_ = order.subKey_};
    sender_.sendControl(*member, std::move(attempt),
                        [this, subKey = order.subKey_](SendResult result) {
                            executorAnswered(subKey, std::move(result));
                        });
}

void KeyedCalls::recall(const once::Recall &order)
{
    const auto *member = findMember_(order.subKey_.executor_.id_);
    if (member == nullptr)
        return;
    Attempt attempt{
            .kind_ = AttemptKind::Recall, .timeLeft_ = controlTimeout, .subKey_ = order.subKey_};
    // Unless it was refused, the answer to the delegation tells what becomes of the request.
    sender_.sendControl(
            *member, std::move(attempt), [this, subKey = order.subKey_](const SendResult &result) {
                const bool isRefused = result && !result->isReplaced_
                                       && std::holds_alternative<once::NotRun>(result->outcome_);
                if (isRefused)
                    executorAnswered(subKey, result);
            });
}

void KeyedCalls::executorAnswered(const once::SubKey &subKey, SendResult result)
{
    if (!result)
        dispatch(once::SendFailed{subKey, sendFailureOf(result.error())});
    else if (result->isReplaced_)
        dispatch(once::ExecutorReplaced{subKey});
    else
        dispatch(once::ExecutorReplied{subKey, result->outcome_});
}

void KeyedCalls::release(const once::Release &order)
{
    auto node = records_.extract(order.record_);
    if (node.empty())
        return;
    const auto &record = node.mapped();
    const auto now = base::monotonicNow();
    if (record.budgetLeft_)
        retry_.handle(retry::AttemptEnded{.call_ = order.record_,
                                          .attempt_ = record.attempt_.attempt_,
                                          .result_ = retry::AttemptResult::Answered,
                                          .budgetLeft_ = record.budgetLeft_},
                      now);
    else
        retry_.handle(retry::CallEnded{order.record_}, now);
}

void KeyedCalls::scheduleWakeUp()
{
    const auto due = home_.nextWakeUp();
    if (due == wakeUpAt_)
        return;
    reactor_.cancel(wakeUpTimer_);
    wakeUpTimer_ = 0;
    wakeUpAt_ = due;
    if (due >= base::Millis::max())
        return;
    const auto delay = std::max(base::Millis(0), due - base::monotonicNow());
    wakeUpTimer_ = reactor_.schedule(delay, [this] {
        wakeUpAt_ = base::Millis::max();
        dispatch(once::WakeUp{});
    });
}

} // namespace dock
