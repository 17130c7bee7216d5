#include <details/HomeCore.h>

#include <algorithm>
#include <cassert>

namespace once::details {

namespace {

/** The next whole second, so that many records expire with one wake-up. */
base::Millis roundedUpToSecond(base::Millis time)
{
    constexpr std::int64_t granularityMs = 1000;
    return base::Millis((time.count() / granularityMs + 1) * granularityMs);
}

} // namespace

void HomeCore::join(RecordId id, HomeRecord &record, const Request &request, HomeCommands &out)
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
    record.waiting_.push_back(Waiter{request.waiter_, request.deadline_});
    record.startBy_ = std::max(record.startBy_, request.deadline_);
    waiters_.emplace(request.waiter_, id);
    timers_.add(request.deadline_, id);
    if (!isFirst)
        return;
    record.attempt_ = 1;
    out.push_back(ChooseExecutor{.record_ = id, .waiter_ = request.waiter_, .attempt_ = 1});
}

void HomeCore::burn(RecordId id, HomeRecord &record, const NotRun &notRun, HomeCommands &out)
{
    replyAll(record, notRun, out);
    table_.burn(id);
    out.push_back(Release{id});
}

void HomeCore::resolve(RecordId id, HomeRecord &record, Reason reason, HomeCommands &out)
{
    outstanding_.erase(std::get<std::unique_ptr<Running>>(record.state_)->subKey_.number_);
    table_.resolve(id, record, reason, now_);
    replyAll(record, Unknown{reason}, out);
    concludeRecord(id, record, out);
}

void HomeCore::finish(RecordId id, HomeRecord &record, const AnswerPtr &answer, HomeCommands &out)
{
    outstanding_.erase(std::get<std::unique_ptr<Running>>(record.state_)->subKey_.number_);
    table_.finish(id, record, answer, now_);
    replyAll(record, Complete{answer}, out);
    concludeRecord(id, record, out);
}

void HomeCore::concludeRecord(RecordId id, const HomeRecord &record, HomeCommands &out)
{
    if (record.expiry_ < base::Millis::max())
        timers_.add(roundedUpToSecond(std::max(record.expiry_, now_)), id);
    out.push_back(Release{id});
}

void HomeCore::chooseNextExecutor(RecordId id, HomeRecord &record, const NotRun &notRun,
                                  bool wasSent, HomeCommands &out)
{
    const auto previous = std::get<std::unique_ptr<Running>>(record.state_)->subKey_;
    outstanding_.erase(previous.number_);
    record.state_ = Choosing{};
    if (now_ >= record.startBy_) {
        burn(id, record, NotRun{Reason::DeadlinePassed, {}}, out);
        return;
    }
    if (record.waiting_.empty()) {
        burn(id, record, NotRun{Reason::Cancelled, {}}, out);
        return;
    }
    if (record.withdrawnAs_) {
        burn(id, record, NotRun(*record.withdrawnAs_), out);
        return;
    }
    timers_.add(record.startBy_, id);
    out.push_back(ChooseExecutor{.record_ = id,
                                 .waiter_ = 0,
                                 .attempt_ = ++record.attempt_,
                                 .last_ = previous.executor_,
                                 .notRun_ = notRun,
                                 .wasSent_ = wasSent});
}

void HomeCore::scheduleQuery(RecordId id, Running &running)
{
    if (!running.hasLostMessage_) {
        running.hasLostMessage_ = true;
        running.queryDeadline_ = now_ + settings_.queryTimeout_;
    }
    running.nextQueryAt_ = now_ + running.queryInterval_;
    running.queryInterval_ = std::min(running.queryInterval_ * 2, settings_.maxQueryInterval_);
    timers_.add(running.nextQueryAt_, id);
}

/** Takes the request back if it has not started at its executor. */
void HomeCore::recall(const HomeRecord &record, HomeCommands &out)
{
    if (const auto *running = std::get_if<std::unique_ptr<Running>>(&record.state_))
        out.push_back(Recall{(*running)->subKey_});
}

void HomeCore::replyAll(HomeRecord &record, const Outcome &outcome, HomeCommands &out)
{
    for (const auto &[waiter, deadline] : record.waiting_) {
        waiters_.erase(waiter);
        out.push_back(Reply{waiter, outcome});
    }
    record.waiting_.clear();
    record.waiting_.shrink_to_fit();
}

void HomeCore::replyOverdue(HomeRecord &record, HomeCommands &out)
{
    std::erase_if(record.waiting_, [&](const Waiter &one) {
        if (now_ < one.deadline_)
            return false;
        waiters_.erase(one.waiter_);
        out.push_back(Reply{one.waiter_, Unknown{Reason::StillRunning}});
        return true;
    });
}

std::pair<RecordId, HomeRecord *> HomeCore::findRunning(const SubKey &subKey)
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

} // namespace once::details
