#include <once/Home.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <unordered_map>

#include <base/Mac.h>
#include <base/Overloaded.h>
#include <details/HomeTable.h>
#include <details/TimerQueue.h>

namespace once {

using details::Choosing;
using details::Finished;
using details::HomeRecord;
using details::Running;
using details::Unresolved;
using details::Waiting;
using Commands = std::vector<HomeCommand>;

struct Home::Impl
{
    Impl(Incarnation self, const HomeSettings &settings, std::string secret)
        : self_(std::move(self))
        , settings_(settings)
        , secret_(std::move(secret))
        , table_(settings)
    {}

    void on(const Request &event, Commands &out);
    void on(const HungUp &event, Commands &out);
    void on(const Chosen &event, Commands &out);
    void on(const NotChosen &event, Commands &out);
    void on(const ExecutorSaid &event, Commands &out);
    void on(const SendFailed &event, Commands &out);
    void on(const ExecutorReplaced &event, Commands &out);
    void on(const ContextEnded &event, Commands &out);
    void on(const WakeUp &event, Commands &out);

    bool isGenuine(const Key &key) const;
    void join(RecordId id, HomeRecord &record, const Request &request, Commands &out);
    void burn(RecordId id, HomeRecord &record, const NotRun &why, Commands &out);
    void resolve(RecordId id, HomeRecord &record, Reason reason, Commands &out);
    void finish(RecordId id, HomeRecord &record, const AnswerPtr &answer, Commands &out);
    void tryAgain(RecordId id, HomeRecord &record, const NotRun &why, bool wasSent, Commands &out);
    void askLater(RecordId id, Running &running);
    void decided(RecordId id, const HomeRecord &record, Commands &out);
    void replyAll(HomeRecord &record, const Outcome &outcome, Commands &out);
    void replyOverdue(HomeRecord &record, Commands &out);
    void lookAt(RecordId id, Commands &out);
    std::pair<RecordId, HomeRecord *> runningRecord(const SubKey &subKey);

    Incarnation self_;
    HomeSettings settings_;
    std::string secret_;
    details::HomeTable table_;
    details::TimerQueue timers_;
    std::unordered_map<WaiterId, RecordId> waiters_;
    std::map<std::uint64_t, RecordId> outstanding_; ///< by number of their sub-key
    std::uint64_t nextNumber_ = 1;
    base::Millis now_; ///< latest time seen
};

bool Home::Impl::isGenuine(const Key &key) const
{
    return base::equalsInConstantTime(key.mac_, base::mac(secret_, key.signedBytes()));
}

void Home::Impl::on(const Request &event, Commands &out)
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
                       [&](const auto &told) {
                           out.push_back(Reply{event.waiter_, told});
                       },
               },
               found);
}

void Home::Impl::join(RecordId id, HomeRecord &record, const Request &request, Commands &out)
{
    if (record.digest_ != request.digest_) {
        out.push_back(Reply{request.waiter_, Unknown{Reason::KeyMismatch}});
        return;
    }
    if (const auto *finished = std::get_if<Finished>(&record.state_)) {
        out.push_back(Reply{request.waiter_, Complete{finished->answer_}});
        return;
    }
    if (const auto *unresolved = std::get_if<Unresolved>(&record.state_)) {
        out.push_back(Reply{request.waiter_, Unknown{unresolved->reason_}});
        return;
    }
    if (now_ >= request.deadline_) {
        out.push_back(Reply{request.waiter_, Unknown{Reason::StillRunning}});
        return;
    }
    if (record.waiting_.size() >= settings_.maxWaitersPerKey_) {
        out.push_back(Reply{request.waiter_, Unknown{Reason::TooManyWaiting}});
        return;
    }
    const bool isFirst = record.waiting_.empty() && record.attempt_ == 0;
    record.waiting_.push_back(Waiting{request.waiter_, request.deadline_});
    record.startBy_ = std::max(record.startBy_, request.deadline_);
    waiters_.emplace(request.waiter_, id);
    timers_.add(request.deadline_, id);
    if (!isFirst)
        return;
    record.attempt_ = 1;
    out.push_back(ChooseExecutor{.record_ = id, .waiter_ = request.waiter_, .attempt_ = 1});
}

void Home::Impl::on(const HungUp &event, Commands &)
{
    const auto found = waiters_.find(event.waiter_);
    if (found == waiters_.end())
        return;
    auto &waiting = table_.find(found->second)->waiting_;
    std::erase_if(waiting, [&](const Waiting &one) { return one.waiter_ == event.waiter_; });
    waiters_.erase(found);
}

void Home::Impl::on(const Chosen &event, Commands &out)
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
    running->askInterval_ = settings_.askInterval_;
    record->state_ = std::move(running);
    out.push_back(
            Delegate{event.record_, subKey, outstanding_.begin()->first, record->startBy_ - now_});
}

void Home::Impl::on(const NotChosen &event, Commands &out)
{
    auto *record = table_.find(event.record_);
    if (record && std::holds_alternative<Choosing>(record->state_))
        burn(event.record_, *record, event.why_, out);
}

void Home::Impl::on(const ExecutorSaid &event, Commands &out)
{
    const auto [id, record] = runningRecord(event.subKey_);
    if (!record)
        return;
    std::visit(base::Overloaded{
                       [&, id = id, record = record](const Complete &complete) {
                           finish(id, *record, complete.answer_, out);
                       },
                       [&, id = id, record = record](const NotRun &why) {
                           tryAgain(id, *record, why, true, out);
                       },
                       [&, id = id, record = record](const Unknown &unknown) {
                           resolve(id, *record, unknown.reason_, out);
                       },
               },
               event.outcome_);
}

void Home::Impl::on(const SendFailed &event, Commands &out)
{
    const auto [id, record] = runningRecord(event.subKey_);
    if (!record)
        return;
    auto &running = *std::get<std::unique_ptr<Running>>(record->state_);
    if (event.failure_ == SendFailure::NotSent && !running.hasAsked_) {
        tryAgain(id, *record, NotRun{Reason::ExecutorUnreachable, {}}, false, out);
        return;
    }
    askLater(id, running);
}

void Home::Impl::on(const ExecutorReplaced &event, Commands &out)
{
    const auto [id, record] = runningRecord(event.subKey_);
    if (!record)
        return;
    // The one message sent so far reached the new process, which refused it.
    if (!std::get<std::unique_ptr<Running>>(record->state_)->hasAsked_) {
        tryAgain(id, *record, NotRun{Reason::OtherGeneration, {}}, false, out);
        return;
    }
    resolve(id, *record, Reason::OtherGeneration, out);
}

void Home::Impl::on(const ContextEnded &event, Commands &out)
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

void Home::Impl::on(const WakeUp &, Commands &out)
{
    while (const auto id = timers_.takeDue(now_))
        lookAt(id, out);
}

void Home::Impl::lookAt(RecordId id, Commands &out)
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
    if (!state || now_ < (*state)->askAt_)
        return;
    if (now_ >= (*state)->giveUpAt_) {
        resolve(id, *record, Reason::ExecutorUnreachable, out);
        return;
    }
    (*state)->askAt_ = base::Millis::max();
    out.push_back(Ask{(*state)->subKey_});
}

void Home::Impl::burn(RecordId id, HomeRecord &record, const NotRun &why, Commands &out)
{
    replyAll(record, why, out);
    table_.erase(id);
    out.push_back(Release{id});
}

void Home::Impl::resolve(RecordId id, HomeRecord &record, Reason reason, Commands &out)
{
    outstanding_.erase(std::get<std::unique_ptr<Running>>(record.state_)->subKey_.number_);
    record.state_ = Unresolved{reason};
    replyAll(record, Unknown{reason}, out);
    decided(id, record, out);
}

void Home::Impl::finish(RecordId id, HomeRecord &record, const AnswerPtr &answer, Commands &out)
{
    outstanding_.erase(std::get<std::unique_ptr<Running>>(record.state_)->subKey_.number_);
    table_.finish(id, record, answer, now_);
    replyAll(record, Complete{answer}, out);
    decided(id, record, out);
}

void Home::Impl::decided(RecordId id, const HomeRecord &record, Commands &out)
{
    if (record.expiry_ < base::Millis::max())
        timers_.add(std::max(record.expiry_, now_), id);
    out.push_back(Release{id});
}

void Home::Impl::tryAgain(RecordId id, HomeRecord &record, const NotRun &why, bool wasSent,
                          Commands &out)
{
    const auto last = std::get<std::unique_ptr<Running>>(record.state_)->subKey_;
    outstanding_.erase(last.number_);
    record.state_ = Choosing{};
    if (now_ >= record.startBy_) {
        burn(id, record, NotRun{Reason::DeadlinePassed, {}}, out);
        return;
    }
    if (record.waiting_.empty()) {
        burn(id, record, NotRun{Reason::Cancelled, {}}, out);
        return;
    }
    timers_.add(record.startBy_, id);
    out.push_back(ChooseExecutor{.record_ = id,
                                 .waiter_ = 0,
                                 .attempt_ = ++record.attempt_,
                                 .last_ = last.executor_,
                                 .why_ = why,
                                 .wasSent_ = wasSent});
}

void Home::Impl::askLater(RecordId id, Running &running)
{
    if (!running.hasAsked_) {
        running.hasAsked_ = true;
        running.giveUpAt_ = now_ + settings_.askFor_;
    }
    running.askAt_ = now_ + running.askInterval_;
    running.askInterval_ = std::min(running.askInterval_ * 2, settings_.maxAskInterval_);
    timers_.add(running.askAt_, id);
}

void Home::Impl::replyAll(HomeRecord &record, const Outcome &outcome, Commands &out)
{
    for (const auto &[waiter, deadline] : record.waiting_) {
        waiters_.erase(waiter);
        out.push_back(Reply{waiter, outcome});
    }
    record.waiting_.clear();
    record.waiting_.shrink_to_fit();
}

void Home::Impl::replyOverdue(HomeRecord &record, Commands &out)
{
    std::erase_if(record.waiting_, [&](const Waiting &one) {
        if (now_ < one.deadline_)
            return false;
        waiters_.erase(one.waiter_);
        out.push_back(Reply{one.waiter_, Unknown{Reason::StillRunning}});
        return true;
    });
}

std::pair<RecordId, HomeRecord *> Home::Impl::runningRecord(const SubKey &subKey)
{
    const auto found = outstanding_.find(subKey.number_);
    if (found == outstanding_.end())
        return {0, nullptr};
    auto *record = table_.find(found->second);
    assert(record);
    if (std::get<std::unique_ptr<Running>>(record->state_)->subKey_ != subKey)
        return {0, nullptr};
    return {found->second, record};
}

Home::Home(Incarnation self, const HomeSettings &settings, std::string secret)
    : impl_(std::make_unique<Impl>(std::move(self), settings, std::move(secret)))
{}

Home::~Home() = default;

Key Home::issueKey(std::string customer, std::string service, base::Millis now)
{
    impl_->now_ = std::max(impl_->now_, now);
    Key key;
    key.home_ = impl_->self_;
    key.serial_ = impl_->table_.issueSerial();
    key.expiry_ = impl_->now_ + impl_->settings_.keyLifetime_;
    key.customer_ = std::move(customer);
    key.service_ = std::move(service);
    key.mac_ = base::mac(impl_->secret_, key.signedBytes());
    return key;
}

Commands Home::handle(const HomeEvent &event, base::Millis now)
{
    impl_->now_ = std::max(impl_->now_, now);
    Commands out;
    std::visit([&](const auto &one) { impl_->on(one, out); }, event);
    return out;
}

bool Home::isHomeOf(const Key &key) const
{
    return key.home_ == impl_->self_;
}

base::Millis Home::nextWakeUp() const
{
    return impl_->timers_.next();
}

RecordCounts Home::counts() const
{
    return {.records_ = impl_->table_.size(),
            .waiting_ = impl_->waiters_.size(),
            .answerBytes_ = impl_->table_.answerBytes()};
}

} // namespace once
