#include <details/HomeCore.h>

#include <algorithm>

#include <base/Overloaded.h>

namespace once::details {

HomeCore::HomeCore(Incarnation self, const HomeSettings &settings, std::string_view secret)
    : self_(std::move(self))
    , settings_(settings)
    , mac_(secret)
    , table_(settings)
{}

void HomeCore::advance(base::Millis now)
{
    now_ = std::max(now_, now);
}

Key HomeCore::issueKey(std::string customer, std::string service)
{
    Key key;
    key.home_ = self_;
    key.serial_ = table_.issueSerial();
    key.expiry_ = now_ + settings_.keyLifetime_;
    key.customer_ = std::move(customer);
    key.service_ = std::move(service);
    key.mac_ = mac_.compute(key.signedBytes());
    return key;
}

RecordCounts HomeCore::counts() const
{
    return {.records_ = table_.size(),
            .waiting_ = waiters_.size(),
            .answerBytes_ = table_.answerBytes()};
}

bool HomeCore::isGenuine(const Key &key) const
{
    return mac_.verify(key.mac_, key.signedBytes());
}

void HomeCore::on(const Request &event, HomeCommands &out)
{
    if (const auto *key = std::get_if<Key>(&event.key_)) {
        if (key->home_ != self_) {
            out.push_back(Reply{event.waiter_, Unknown{Reason::OtherGeneration}});
            return;
        }
        if (!isGenuine(*key)) {
            out.push_back(Reply{event.waiter_, NotRun{Reason::BadKey, {}}});
            return;
        }
        if (key->customer_ != event.customer_ || key->service_ != event.service_) {
            out.push_back(Reply{event.waiter_, Unknown{Reason::KeyMismatch}});
            return;
        }
    }
    const auto found = table_.findOrCreate(event, now_);
    std::visit(base::Overloaded{
                       [&](RecordId id) { join(id, *table_.find(id), event, out); },
                       [&](const auto &outcome) {
                           out.push_back(Reply{event.waiter_, outcome});
                       },
               },
               found);
}

void HomeCore::on(const CallerDisconnected &event, HomeCommands &out)
{
    const auto found = waiters_.find(event.waiter_);
    if (found == waiters_.end())
        return;
    auto &record = *table_.find(found->second);
    std::erase_if(record.waiting_, [&](const Waiter &one) { return one.waiter_ == event.waiter_; });
    waiters_.erase(found);
    if (record.waiting_.empty())
        recall(record, out);
}

void HomeCore::on(const Withdrawn &event, HomeCommands &out)
{
    const auto found = waiters_.find(event.waiter_);
    if (found == waiters_.end())
        return;
    const auto id = found->second;
    auto &record = *table_.find(id);
    if (std::holds_alternative<Choosing>(record.state_)) {
        burn(id, record, event.notRun_, out);
        return;
    }
    record.withdrawnAs_ = event.notRun_;
    recall(record, out);
}

void HomeCore::on(const Chosen &event, HomeCommands &out)
{
    auto *record = table_.find(event.record_);
    if (!record || !std::holds_alternative<Choosing>(record->state_))
        return;
    if (now_ >= record->startBy_) {
        burn(event.record_, *record, NotRun{Reason::DeadlinePassed, {}}, out);
        return;
    }
    if (record->waiting_.empty()) {
        burn(event.record_, *record, NotRun{Reason::Cancelled, {}}, out);
        return;
    }
    const SubKey subKey{self_, nextNumber_++, event.executor_};
    outstanding_.emplace(subKey.number_, event.record_);
    auto running = std::make_unique<Running>();
    running->subKey_ = subKey;
    running->queryInterval_ = settings_.queryInterval_;
    record->state_ = std::move(running);
    out.push_back(
            Delegate{event.record_, subKey, outstanding_.begin()->first, record->startBy_ - now_});
}

void HomeCore::on(const NotChosen &event, HomeCommands &out)
{
    auto *record = table_.find(event.record_);
    if (record && std::holds_alternative<Choosing>(record->state_))
        burn(event.record_, *record, event.notRun_, out);
}

void HomeCore::on(const ExecutorReplied &event, HomeCommands &out)
{
    const auto [id, record] = findRunning(event.subKey_);
    if (!record)
        return;
    std::visit(base::Overloaded{
                       [&, id = id, record = record](const Complete &complete) {
                           finish(id, *record, complete.answer_, out);
                       },
                       [&, id = id, record = record](const NotRun &notRun) {
                           chooseNextExecutor(id, *record, notRun, true, out);
                       },
                       [&, id = id, record = record](const Unknown &unknown) {
                           resolve(id, *record, unknown.reason_, out);
                       },
               },
               event.outcome_);
}

void HomeCore::on(const SendFailed &event, HomeCommands &out)
{
    const auto [id, record] = findRunning(event.subKey_);
    if (!record)
        return;
    auto &running = *std::get<std::unique_ptr<Running>>(record->state_);
    if (event.failure_ == SendFailure::NotSent && !running.hasLostMessage_) {
        chooseNextExecutor(id, *record, NotRun{Reason::ExecutorUnreachable, {}}, false, out);
        return;
    }
    scheduleQuery(id, running);
}

void HomeCore::on(const ExecutorReplaced &event, HomeCommands &out)
{
    const auto [id, record] = findRunning(event.subKey_);
    if (!record)
        return;
    // The only message sent so far reached the new process, which refused it.
    if (!std::get<std::unique_ptr<Running>>(record->state_)->hasLostMessage_) {
        chooseNextExecutor(id, *record, NotRun{Reason::OtherGeneration, {}}, false, out);
        return;
    }
    resolve(id, *record, Reason::OtherGeneration, out);
}

void HomeCore::on(const ContextEnded &event, HomeCommands &out)
{
    for (const auto id : table_.endContext(event.context_)) {
        auto *record = table_.find(id);
        if (!record)
            continue;
        record->expiry_ = now_;
        if (std::holds_alternative<Choosing>(record->state_))
            burn(id, *record, NotRun{Reason::Cancelled, {}}, out);
        else if (record->isDecided())
            table_.erase(id);
    }
}

void HomeCore::on(const WakeUp &, HomeCommands &out)
{
    while (const auto id = timers_.takeDue(now_))
        handleTimer(id, out);
}

void HomeCore::dropStaleTimers()
{
    timers_.dropStale([this](base::Millis due, RecordId id) {
        const auto *record = table_.find(id);
        return !record || (record->isDecided() && due < record->expiry_);
    });
}

void HomeCore::handleTimer(RecordId id, HomeCommands &out)
{
    auto *record = table_.find(id);
    if (!record)
        return;
    if (record->isDecided()) {
        if (now_ >= record->expiry_)
            table_.erase(id);
        return;
    }
    if (std::holds_alternative<Choosing>(record->state_) && now_ >= record->startBy_) {
        burn(id, *record, NotRun{Reason::DeadlinePassed, {}}, out);
        return;
    }
    replyOverdue(*record, out);
    const auto *state = std::get_if<std::unique_ptr<Running>>(&record->state_);
    if (!state || now_ < (*state)->nextQueryAt_)
        return;
    if (now_ >= (*state)->queryDeadline_) {
        resolve(id, *record, Reason::ExecutorUnreachable, out);
        return;
    }
    (*state)->nextQueryAt_ = base::Millis::max();
    out.push_back(QueryOutcome{(*state)->subKey_});
}

} // namespace once::details
