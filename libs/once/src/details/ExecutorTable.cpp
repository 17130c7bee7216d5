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

HomeTrack *ExecutorTable::track(const std::string &homeId)
{
    const auto found = tracks_.find(homeId);
    return found == tracks_.end() ? nullptr : &found->second;
}

HomeTrack *ExecutorTable::addTrack(const Incarnation &home)
{
    if (tracks_.size() >= settings_.maxHomes_)
        return nullptr;
    auto &track = tracks_[home.id_];
    track.generation_ = home.generation_;
    return &track;
}

void ExecutorTable::restart(HomeTrack &track, std::uint64_t generation)
{
    for (auto position = track.records_.begin(); position != track.records_.end();)
        position = remove(track, position);
    track.generation_ = generation;
    track.lowestNew_ = 0;
}

ExecutorRecord *ExecutorTable::find(const SubKey &subKey)
{
    auto *home = track(subKey.home_.id_);
    if (!home || home->generation_ != subKey.home_.generation_)
        return nullptr;
    const auto found = home->records_.find(subKey.number_);
    return found == home->records_.end() ? nullptr : &found->second;
}

ExecutorRecord &ExecutorTable::addLive(HomeTrack &track, std::uint64_t number, base::Millis startBy)
{
    ++liveRecords_;
    auto &record = track.records_[number];
    record.state_ = Queued{startBy};
    return record;
}

void ExecutorTable::addRefused(HomeTrack &track, const SubKey &subKey, const NotRun &why,
                               base::Millis now)
{
    track.records_[subKey.number_].state_ = Decided{why};
    ++refusedRecords_;
    refused_.push_back(keptUntil(subKey, now + settings_.keepRefused_));
}

void ExecutorTable::decide(const SubKey &subKey, ExecutorRecord &record, Outcome outcome,
                           base::Millis now)
{
    record.state_ = Decided{std::move(outcome)};
    answerBytes_ += answerBytesOf(record);
    if (isRefused(record)) {
        --liveRecords_;
        ++refusedRecords_;
        refused_.push_back(keptUntil(subKey, now + settings_.keepRefused_));
        return;
    }
    finished_.push_back(keptUntil(subKey, now + settings_.keepFinished_));
}

ExecutorTable::Kept ExecutorTable::keptUntil(const SubKey &subKey, base::Millis until)
{
    return Kept{until, track(subKey.home_.id_), subKey.home_.generation_, subKey.number_};
}

bool ExecutorTable::isThere(const Kept &kept) const
{
    return kept.track_->generation_ == kept.generation_
           && kept.track_->records_.contains(kept.number_);
}

void ExecutorTable::settle(HomeTrack &track, std::uint64_t below)
{
    track.lowestNew_ = std::max(track.lowestNew_, below);
    auto position = track.records_.begin();
    while (position != track.records_.end() && position->first < below) {
        if (outcomeOf(position->second))
            position = remove(track, position);
        else
            ++position;
    }
}

void ExecutorTable::forgetOld(base::Millis now)
{
    const auto isFinishedDue = [&] {
        return !finished_.empty()
               && (finished_.front().until_ <= now || answerBytes_ > settings_.maxAnswerBytes_
                   || !isThere(finished_.front()));
    };
    while (isFinishedDue()) {
        forget(finished_.front());
        finished_.pop_front();
    }
    const auto isRefusedDue = [&] {
        return !refused_.empty()
               && (refused_.front().until_ <= now || refusedRecords_ > settings_.maxRefused_
                   || !isThere(refused_.front()));
    };
    while (isRefusedDue()) {
        forget(refused_.front());
        refused_.pop_front();
    }
}

void ExecutorTable::forget(const Kept &kept)
{
    if (!isThere(kept))
        return;
    auto &home = *kept.track_;
    home.lowestNew_ = std::max(home.lowestNew_, kept.number_ + 1);
    remove(home, home.records_.find(kept.number_));
}

ExecutorTable::Records::iterator ExecutorTable::remove(HomeTrack &track, Records::iterator position)
{
    const auto &record = position->second;
    answerBytes_ -= answerBytesOf(record);
    --(isRefused(record) ? refusedRecords_ : liveRecords_);
    return track.records_.erase(position);
}

RecordCounts ExecutorTable::counts() const
{
    RecordCounts counts;
    counts.records_ = liveRecords_ + refusedRecords_;
    counts.answerBytes_ = answerBytes_;
    counts.homes_ = tracks_.size();
    return counts;
}

} // namespace once::details
