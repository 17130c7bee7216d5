#include <dock/KeyedCalls.h>

#include <base/Clock.h>
#include <base/Hash.h>
#include <base/Overloaded.h>

namespace dock {

namespace {

/** How long the answer to an Ask is awaited; the home asks again. */
constexpr base::Millis askTimeout(1000);

/** Tells requests under one key apart: the same key must come with the same request. */
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
                       DelegatedAgain onDelegatedAgain)
    : reactor_(reactor)
    , home_(home)
    , retry_(retry)
    , selector_(selector)
    , sender_(sender)
    , findMember_(std::move(findMember))
    , onDelegatedAgain_(std::move(onDelegatedAgain))
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
    waiting_[id] = {std::move(call), std::move(done)};
    // Posted, so that done never runs before the caller knows the waiter's id.
    reactor_.post([this, event, alive = isAlive_] {
        if (*alive && waiting_.contains(event.waiter_))
            tell(event);
    });
    return id;
}

void KeyedCalls::cancel(once::WaiterId id)
{
    if (waiting_.erase(id) > 0)
        tell(once::HungUp{id});
}

void KeyedCalls::abandonAll()
{
    const auto now = base::monotonicNow();
    for (const auto &[id, record] : std::exchange(records_, {}))
        retry_.handle(retry::CallEnded{id}, now);
    for (const auto &[id, waiting] : std::exchange(waiting_, {}))
        waiting.done_(once::Unknown{once::Reason::OtherGeneration}, waiting.report_);
}

void KeyedCalls::contextEnded(const std::string &token)
{
    tell(once::ContextEnded{token});
}

void KeyedCalls::tell(const once::HomeEvent &event)
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
                           [this](const once::Ask &order) { ask(order); },
                           [this](const once::Release &order) { release(order); },
                   },
                   command);
    }
}

void KeyedCalls::reply(const once::Reply &order)
{
    auto node = waiting_.extract(order.waiter_);
    if (!node.empty())
        node.mapped().done_(order.outcome_, node.mapped().report_);
}

void KeyedCalls::chooseExecutor(const once::ChooseExecutor &order)
{
    const auto now = base::monotonicNow();
    if (order.attempt_ == 1) {
        const auto waiting = waiting_.find(order.waiter_);
        if (waiting == waiting_.end()) {
            tell(once::NotChosen{order.record_, {once::Reason::Cancelled, {}}});
            return;
        }
        auto &record = records_[order.record_];
        record.waiter_ = order.waiter_;
        // The first of those who wait under the key brings the request; nobody else needs it.
        record.info_ = std::move(waiting->second.info_);
        const auto &info = record.info_;
        auto event = callStarted(order.record_, info);
        event.idempotent_ = false;
        perform(retry_.handle(event, now));
        return;
    }
    const auto found = records_.find(order.record_);
    if (found == records_.end())
        return;
    found->second.again_ = {.attempt_ = order.attempt_,
                            .allowedBy_ = order.why_,
                            .wasSent_ = order.wasSent_,
                            .last_ = order.last_};
    const bool hasReached = order.wasSent_ && hasReachedBackend(order.why_);
    if (hasReached)
        found->second.info_.repeat_ = retry::RepeatKind::AfterRefusal;
    const retry::AttemptEnded event{
            .call_ = order.record_,
            .attempt_ = found->second.attempt_.attempt_,
            .result_ = order.wasSent_ ? attemptResultOf(order.why_) : retry::AttemptResult::NotSent,
            .instance_ = order.last_ ? order.last_->id_ : std::string(),
            .budgetLeft_ = std::exchange(found->second.budgetLeft_, std::nullopt),
            .reachedBackend_ = hasReached};
    const auto commands = retry_.handle(event, now);
    for (const auto &command : commands) {
        if (std::holds_alternative<retry::GiveUp>(command)) {
            tell(once::NotChosen{order.record_, order.why_});
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
            tell(once::NotChosen{record, {once::Reason::NoRoom, {}}});
            continue;
        }
        const auto &order = std::get<retry::StartAttempt>(command);
        if (order.delay_ <= base::Millis(0)) {
            choose(order);
            continue;
        }
        reactor_.schedule(order.delay_, [this, order, alive = isAlive_] {
            if (*alive)
                choose(order);
        });
    }
}

void KeyedCalls::choose(const retry::StartAttempt &order)
{
    const auto found = records_.find(order.call_);
    if (found == records_.end())
        return;
    auto &record = found->second;
    record.attempt_ = order;
    const auto selected =
            selector_.select(record.info_, order.avoid_, record.tried_, base::monotonicNow());
    if (!selected) {
        tell(once::NotChosen{order.call_, selected.error()});
        return;
    }
    const auto &member = selected->member_;
    record.routed_ = selected->routed_;
    record.tried_.push_back(member.id_);
    tell(once::Chosen{order.call_, {member.id_, member.generation_}});
}

// Posted, as the home is still at work on its commands.
void KeyedCalls::reportNotSent(const once::SubKey &subKey)
{
    reactor_.post([this, subKey, alive = isAlive_] {
        if (*alive)
            answered(subKey, tl::unexpected(net::FailureKind::NotSent));
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
    if (auto &again = record->second.again_; again.attempt_ > 0) {
        again.next_ = order.subKey_.executor_;
        onDelegatedAgain_(record->second.info_, again);
    }
    auto attempt = attemptOf(record->second.info_, record->second.attempt_.handedDown_,
                             base::monotonicNow());
    attempt.timeLeft_ = order.timeLeft_;
    attempt.subKey_ = order.subKey_;
    attempt.settledBelow_ = order.settledBelow_;
    sender_.send({*member, record->second.routed_}, std::move(attempt),
                 [this, order](SendResult result) { delegated(order, std::move(result)); });
}

void KeyedCalls::delegated(const once::Delegate &order, SendResult result)
{
    if (const auto found = records_.find(order.record_); found != records_.end()) {
        auto &record = found->second;
        const auto waiting = waiting_.find(record.waiter_);
        if (waiting != waiting_.end())
            ++waiting->second.report_.attempts_;
        if (result) {
            record.budgetLeft_ = result->budgetLeft_;
            selector_.observe(record.info_, result->levels_, base::monotonicNow());
            if (waiting != waiting_.end())
                waiting->second.report_.queueing_ = result->queueing_;
        }
    }
    answered(order.subKey_, std::move(result));
}

void KeyedCalls::ask(const once::Ask &order)
{
    const auto *member = findMember_(order.subKey_.executor_.id_);
    if (member == nullptr) {
        reportNotSent(order.subKey_);
        return;
    }
    Attempt attempt{.kind_ = AttemptKind::Ask, .timeLeft_ = askTimeout, .subKey_ = order.subKey_};
    sender_.ask(*member, std::move(attempt), [this, subKey = order.subKey_](SendResult result) {
        answered(subKey, std::move(result));
    });
}

void KeyedCalls::answered(const once::SubKey &subKey, SendResult result)
{
    if (!result)
        tell(once::SendFailed{subKey, sendFailureOf(result.error())});
    else if (result->isReplaced_)
        tell(once::ExecutorReplaced{subKey});
    else
        tell(once::ExecutorSaid{subKey, result->outcome_});
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
        tell(once::WakeUp{});
    });
}

} // namespace dock
