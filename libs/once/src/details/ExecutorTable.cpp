#include <details/ExecutorTable.h>

#include <algorithm>

namespace once::details {

namespace {

/** The outcome of a decided record, or nullptr. */
const Outcome *outcomeOf(const ExecutorRecord &record)
{
    const auto *decided = std::get_if<Decided>(&record.state_);
    return decided ? &decided->outcome_ : nullptr;
}

bool isRefused(const ExecutorRecord &record)
{
    const auto *outcome = outcomeOf(record);
    return outcome && std::holds_alternative<NotRun>(*outcome);
}

std::size_t answerBytesOf(const ExecutorRecord &record)
{
    const auto *outcome = outcomeOf(record);
    const auto *complete = outcome ? std::get_if<Complete>(outcome) : nullptr;
    return complete ? complete->answer_->bytes() : 0;
}

} // namespace

ExecutorTable::ExecutorTable(const ExecutorSettings &settings)
    : settings_(settings)
{}

TrackedHome *ExecutorTable::findHome(const std::string &homeId)
{
    const auto found = homes_.find(homeId);
    return found == homes_.end() ? nullptr : &found->second;
}

TrackedHome *ExecutorTable::addHome(const Incarnation &home)
{
    if (homes_.size() >= settings_.maxHomes_)
        return nullptr;
    auto &trackedHome = homes_[home.id_];
    trackedHome.generation_ = home.generation_;
    return &trackedHome;
}

void ExecutorTable::restart(TrackedHome &home, std::uint64_t generation)
{
    for (auto position = home.records_.begin(); position != home.records_.end();)
        position = remove(home, position);
    home.generation_ = generation;
    home.minNewNumber_ = 0;
}

ExecutorRecord *ExecutorTable::find(const SubKey &subKey)
{
    auto *home = findHome(subKey.home_.id_);
    if (!home || home->generation_ != subKey.home_.generation_)
        return nullptr;
    const auto found = home->records_.find(subKey.number_);
    return found == home->records_.end() ? nullptr : &found->second;
}

ExecutorRecord &ExecutorTable::addLive(TrackedHome &home, std::uint64_t number,
                                       base::Millis startBy)
{
    ++liveRecords_;
    auto &record = home.records_[number];
    record.state_ = Queued{startBy};
    return record;
}

void ExecutorTable::addRefused(TrackedHome &home, const SubKey &subKey, const NotRun &notRun,
                               base::Millis now)
{
    home.records_[subKey.number_].state_ = Decided{notRun};
    ++refusedRecords_;
    refused_.push_back(evictionEntry(subKey, now + settings_.refusedRetention_));
}

void ExecutorTable::decide(const SubKey &subKey, ExecutorRecord &record, Outcome outcome,
                           base::Millis now)
{
    record.state_ = Decided{std::move(outcome)};
    answerBytes_ += answerBytesOf(record);
    if (isRefused(record)) {
        --liveRecords_;
        ++refusedRecords_;
        refused_.push_back(evictionEntry(subKey, now + settings_.refusedRetention_));
        return;
    }
    finished_.push_back(evictionEntry(subKey, now + settings_.finishedRetention_));
}

ExecutorTable::EvictionEntry ExecutorTable::evictionEntry(const SubKey &subKey,
                                                          base::Millis evictAt)
{
    return EvictionEntry{evictAt, findHome(subKey.home_.id_), subKey.home_.generation_,
                         subKey.number_};
}

bool ExecutorTable::hasRecord(const EvictionEntry &entry) const
{
    return entry.home_->generation_ == entry.generation_
           && entry.home_->records_.contains(entry.number_);
}

void ExecutorTable::evictSettled(TrackedHome &home, std::uint64_t below)
{
    home.minNewNumber_ = std::max(home.minNewNumber_, below);
    auto position = home.records_.begin();
    while (position != home.records_.end() && position->first < below) {
        if (outcomeOf(position->second))
            position = remove(home, position);
        else
            ++position;
    }
}

void ExecutorTable::evictExpired(base::Millis now)
{
    const auto isFinishedDue = [&] {
        return !finished_.empty()
               && (finished_.front().evictAt_ <= now || answerBytes_ > settings_.maxAnswerBytes_
                   || !hasRecord(finished_.front()));
    };
    while (isFinishedDue()) {
        evict(finished_.front());
        finished_.pop_front();
    }
    const auto isRefusedDue = [&] {
        return !refused_.empty()
               && (refused_.front().evictAt_ <= now || refusedRecords_ > settings_.maxRefused_
                   || !hasRecord(refused_.front()));
    };
    while (isRefusedDue()) {
        evict(refused_.front());
        refused_.pop_front();
    }
}

void ExecutorTable::evict(const EvictionEntry &entry)
{
    if (!hasRecord(entry))
        return;
    auto &home = *entry.home_;
    home.minNewNumber_ = std::max(home.minNewNumber_, entry.number_ + 1);
    remove(home, home.records_.find(entry.number_));
}

ExecutorTable::Records::iterator ExecutorTable::remove(TrackedHome &home,
                                                       Records::iterator position)
{
    const auto &record = position->second;
    answerBytes_ -= answerBytesOf(record);
    --(isRefused(record) ? refusedRecords_ : liveRecords_);
    return home.records_.erase(position);
}

RecordCounts ExecutorTable::counts() const
{
    RecordCounts counts;
    counts.records_ = liveRecords_ + refusedRecords_;
    counts.answerBytes_ = answerBytes_;
    counts.homes_ = homes_.size();
    return counts;
}

} // namespace once::details
