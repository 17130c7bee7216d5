#include <note/Fold.h>

#include <algorithm>
#include <utility>

#include <base/Overloaded.h>
#include <note/Limits.h>

namespace note {

std::uint64_t Fold::position() const
{
    return isComplete_ ? state_->nextOffset_ : position_;
}

void Fold::setFirstOffset(std::uint64_t first)
{
    if (!state_ && first == 0) {
        state_ = State{};
        markComplete(0);
        return;
    }
    if (first <= position() && (state_ || position() > 0))
        return;
    isComplete_ = false;
    pending_.clear();
    pendingFromOffset_ = first;
    position_ = first;
}

void Fold::apply(std::uint64_t offset, std::string_view data)
{
    if (offset < position())
        return;
    const auto record = decodeRecord(data);
    if (record)
        applyRecord(offset, *record);
    else
        ++malformedRecords_;
    skipTo(offset + 1);
}

void Fold::skipTo(std::uint64_t offset)
{
    auto &position = isComplete_ ? state_->nextOffset_ : position_;
    position = std::max(position, offset);
}

void Fold::applyRecord(std::uint64_t offset, const Record &record)
{
    std::visit(base::Overloaded{
                       [&](const ReleaseNote &note) {
                           if (isComplete_)
                               state_ = applyNote(std::move(*state_), offset, note);
                           else
                               pending_.emplace(offset, note);
                       },
                       [&](const Snapshot &snapshot) {
                           snapshotEnd_ = offset + 1;
                           mergeState(snapshot.state_);
                       },
               },
               record);
    // Bounds the memory used while no snapshot or peer state closes the gap.
    if (pending_.size() > limits::pendingRecords) {
        pendingFromOffset_ = pending_.begin()->first + 1;
        pending_.erase(pending_.begin());
    }
}

void Fold::mergeState(const State &state)
{
    state_ = state_ ? merge(*state_, state) : state;
    const bool isContiguous = state_->nextOffset_ >= pendingFromOffset_;
    if (!isComplete_ && isContiguous)
        markComplete(position_);
}

std::optional<Snapshot> Fold::snapshot() const
{
    if (!state_)
        return std::nullopt;
    Snapshot result{*state_};
    // The records between the state and the oldest record on the log are lost. Marking them as
    // covered makes every daemon continue from the same offset.
    if (!isComplete_)
        result.state_.nextOffset_ = std::max(result.state_.nextOffset_, pendingFromOffset_);
    return result;
}

void Fold::markComplete(std::uint64_t position)
{
    const auto from = state_->nextOffset_;
    for (auto it = pending_.lower_bound(from); it != pending_.end(); ++it)
        state_ = applyNote(std::move(*state_), it->first, it->second);
    pending_.clear();
    isComplete_ = true;
    state_->nextOffset_ = std::max(state_->nextOffset_, position);
}

} // namespace note
