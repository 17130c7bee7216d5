#include <once/Executor.h>

#include <algorithm>

#include <details/ExecutorTable.h>

namespace once {

using details::Decided;
using details::ExecutorRecord;
using details::Queued;
using details::Sent;
using details::TrackedHome;
using Commands = std::vector<ExecutorCommand>;

struct Executor::Impl
{
    Impl(Incarnation self, const ExecutorSettings &settings)
        : self_(std::move(self))
        , settings_(settings)
        , table_(settings)
    {}

    void on(const Delegated &event, Commands &out);
    void on(const OutcomeQueried &event, Commands &out);
    void on(const Recalled &event, Commands &out);
    void on(const WaiterDisconnected &event, Commands &out);
    void on(const Admitted &event, Commands &out);
    void on(const Refused &event, Commands &out);
    void on(const BackendAnswered &event, Commands &out);
    void on(const BackendLost &event, Commands &out);

    TrackedHome *findCurrentHome(WaiterId waiter, const SubKey &subKey, Commands &out);
    TrackedHome *adoptGeneration(TrackedHome &home, std::uint64_t generation, Commands &out);
    bool joinExisting(WaiterId waiter, const SubKey &subKey, const TrackedHome &home,
                      Commands &out);
    void refuse(WaiterId waiter, const SubKey &subKey, TrackedHome &home, const NotRun &notRun,
                Commands &out);
    void decide(const SubKey &subKey, ExecutorRecord &record, const Outcome &outcome,
                Commands &out);

    Incarnation self_;
    ExecutorSettings settings_;
    details::ExecutorTable table_;
    std::size_t waiting_ = 0;
    base::Millis now_; ///< latest time passed to handle()
};

/** The sub-key's home if this executor may decide on the sub-key; otherwise replies. */
TrackedHome *Executor::Impl::findCurrentHome(WaiterId waiter, const SubKey &subKey, Commands &out)
{
    if (subKey.executor_ != self_) {
        out.push_back(ReplyReplaced{waiter});
        return nullptr;
    }
    auto *home = table_.findHome(subKey.home_.id_);
    if (!home)
        home = table_.addHome(subKey.home_);
    if (!home) {
        // Homes are never evicted, so that this one is refused permanently.
        out.push_back(Reply{waiter, NotRun{Reason::NoRoom, settings_.retryAfter_}});
        return nullptr;
    }
    if (subKey.home_.generation_ < home->generation_) {
        out.push_back(Reply{waiter, Unknown{Reason::OtherGeneration}});
        return nullptr;
    }
    if (subKey.home_.generation_ > home->generation_)
        return adoptGeneration(*home, subKey.home_.generation_, out);
    return home;
}

TrackedHome *Executor::Impl::adoptGeneration(TrackedHome &home, std::uint64_t generation,
                                             Commands &out)
{
    for (auto &[number, record] : home.records_) {
        for (const auto waiter : record.waiting_)
            out.push_back(Reply{waiter, Unknown{Reason::OtherGeneration}});
        waiting_ -= record.waiting_.size();
    }
    table_.restart(home, generation);
    return &home;
}

void Executor::Impl::on(const Delegated &event, Commands &out)
{
    auto *home = findCurrentHome(event.waiter_, event.subKey_, out);
    if (!home)
        return;
    table_.evictSettled(*home, event.settledBelow_);
    if (joinExisting(event.waiter_, event.subKey_, *home, out))
        return;
    if (event.timeLeft_ <= base::Millis(0)) {
        refuse(event.waiter_, event.subKey_, *home, NotRun{Reason::DeadlinePassed, {}}, out);
        return;
    }
    if (!table_.hasRoom()) {
        const NotRun notRun{Reason::NoRoom, settings_.retryAfter_};
        refuse(event.waiter_, event.subKey_, *home, notRun, out);
        return;
    }
    const auto startBy = now_ + event.timeLeft_;
    auto &record = table_.addLive(*home, event.subKey_.number_, startBy);
    record.waiting_.push_back(event.waiter_);
    ++waiting_;
    out.push_back(Admit{event.subKey_, startBy});
}

void Executor::Impl::on(const OutcomeQueried &event, Commands &out)
{
    auto *home = findCurrentHome(event.waiter_, event.subKey_, out);
    if (!home || joinExisting(event.waiter_, event.subKey_, *home, out))
        return;
    // Refuses the sub-key from now on, so that the request does not run if it arrives later.
    refuse(event.waiter_, event.subKey_, *home, NotRun{Reason::NeverArrived, {}}, out);
}

void Executor::Impl::on(const Recalled &event, Commands &out)
{
    auto *home = findCurrentHome(event.waiter_, event.subKey_, out);
    if (!home)
        return;
    auto *record = table_.find(event.subKey_);
    if (!record && event.subKey_.number_ >= home->minNewNumber_) {
        refuse(event.waiter_, event.subKey_, *home, NotRun{Reason::NeverArrived, {}}, out);
        return;
    }
    if (record && std::holds_alternative<Queued>(record->state_)) {
        const NotRun notRun{Reason::Cancelled, {}};
        decide(event.subKey_, *record, notRun, out);
        out.push_back(Abandon{event.subKey_});
        out.push_back(Reply{event.waiter_, notRun});
        return;
    }
    const auto *decided = record ? std::get_if<Decided>(&record->state_) : nullptr;
    const bool isRefused = decided && std::holds_alternative<NotRun>(decided->outcome_);
    out.push_back(Reply{event.waiter_,
                        isRefused ? decided->outcome_ : Outcome(Unknown{Reason::StillRunning})});
}

bool Executor::Impl::joinExisting(WaiterId waiter, const SubKey &subKey, const TrackedHome &home,
                                  Commands &out)
{
    auto *record = table_.find(subKey);
    if (!record) {
        if (subKey.number_ >= home.minNewNumber_)
            return false;
        out.push_back(Reply{waiter, Unknown{Reason::Forgotten}});
        return true;
    }
    if (const auto *decided = std::get_if<Decided>(&record->state_)) {
        out.push_back(Reply{waiter, decided->outcome_});
        return true;
    }
    record->waiting_.push_back(waiter);
    ++waiting_;
    return true;
}

void Executor::Impl::refuse(WaiterId waiter, const SubKey &subKey, TrackedHome &home,
                            const NotRun &notRun, Commands &out)
{
    table_.addRefused(home, subKey, notRun, now_);
    out.push_back(Reply{waiter, notRun});
}

void Executor::Impl::on(const WaiterDisconnected &event, Commands &)
{
    auto *record = table_.find(event.subKey_);
    if (record)
        waiting_ -= std::erase(record->waiting_, event.waiter_);
}

void Executor::Impl::on(const Admitted &event, Commands &out)
{
    auto *record = table_.find(event.subKey_);
    const auto *queued = record ? std::get_if<Queued>(&record->state_) : nullptr;
    if (!queued) {
        out.push_back(Abandon{event.subKey_});
        return;
    }
    const auto timeLeft = queued->startBy_ - now_;
    if (timeLeft <= base::Millis(0)) {
        decide(event.subKey_, *record, NotRun{Reason::DeadlinePassed, {}}, out);
        out.push_back(Abandon{event.subKey_});
        return;
    }
    record->state_ = Sent{};
    out.push_back(SendToBackend{event.subKey_, timeLeft});
}

void Executor::Impl::on(const Refused &event, Commands &out)
{
    auto *record = table_.find(event.subKey_);
    if (record && !std::holds_alternative<Decided>(record->state_))
        decide(event.subKey_, *record, event.notRun_, out);
}

void Executor::Impl::on(const BackendAnswered &event, Commands &out)
{
    auto *record = table_.find(event.subKey_);
    if (record && std::holds_alternative<Sent>(record->state_))
        decide(event.subKey_, *record, Complete{event.answer_}, out);
}

void Executor::Impl::on(const BackendLost &event, Commands &out)
{
    auto *record = table_.find(event.subKey_);
    if (record && std::holds_alternative<Sent>(record->state_))
        decide(event.subKey_, *record, Unknown{event.reason_}, out);
}

void Executor::Impl::decide(const SubKey &subKey, ExecutorRecord &record, const Outcome &outcome,
                            Commands &out)
{
    for (const auto waiter : record.waiting_)
        out.push_back(Reply{waiter, outcome});
    waiting_ -= record.waiting_.size();
    record.waiting_.clear();
    record.waiting_.shrink_to_fit();
    table_.decide(subKey, record, outcome, now_);
}

Executor::Executor(Incarnation self, const ExecutorSettings &settings)
    : impl_(std::make_unique<Impl>(std::move(self), settings))
{}

Executor::~Executor() = default;

Commands Executor::handle(const ExecutorEvent &event, base::Millis now)
{
    impl_->now_ = std::max(impl_->now_, now);
    Commands out;
    std::visit([&](const auto &one) { impl_->on(one, out); }, event);
    impl_->table_.evictExpired(impl_->now_);
    return out;
}

RecordCounts Executor::counts() const
{
    auto counts = impl_->table_.counts();
    counts.waiting_ = impl_->waiting_;
    return counts;
}

} // namespace once
