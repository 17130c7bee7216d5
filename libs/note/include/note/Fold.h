#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <note/Record.h>
#include <note/State.h>

namespace note {

/**
 * Folds the records of the log, in order of their offsets, into a state.
 *
 * The fold is complete while no record is missing between its state and position(). When the log
 * has been trimmed beyond position() the fold has a gap: it buffers later notes and keeps its state
 * until a snapshot or the state of a peer closes the gap.
 */
class Fold
{
public:
    /** Sets the oldest offset on the log; starts the fold, or opens a gap, if needed. */
    void setFirstOffset(std::uint64_t first);

    /** Folds the record at an offset; ignores records before position(). */
    void apply(std::uint64_t offset, std::string_view data);

    /** Moves position() to `offset`: records before it that were not applied change nothing. */
    void skipTo(std::uint64_t offset);

    /** Merges the state of another daemon. */
    void mergeState(const State &state);

    /** Snapshot to append, which closes the gap if there is one; nullopt without a state. */
    std::optional<Snapshot> snapshot() const;

    /** Log offset to read next. */
    std::uint64_t position() const;

    /** Whether no record is missing between the state and position(). */
    bool isComplete() const { return isComplete_; }

    /** The folded state; nullopt before the first one. */
    const std::optional<State> &state() const { return state_; }

    /** Number of records skipped because they could not be decoded. */
    std::uint64_t malformedRecords() const { return malformedRecords_; }

    /** Offset after the newest snapshot seen; 0 before the first. */
    std::uint64_t snapshotEnd() const { return snapshotEnd_; }

private:
    void applyRecord(std::uint64_t offset, const Record &record);
    /** Applies the pending notes; the state then covers all records before `position`. */
    void markComplete(std::uint64_t position);

    std::optional<State> state_;
    bool isComplete_ = false;
    std::uint64_t position_ = 0;          ///< valid while not complete
    std::uint64_t pendingFromOffset_ = 0; ///< pending_ has all notes from this offset to position_
    std::map<std::uint64_t, ReleaseNote> pending_;
    std::uint64_t malformedRecords_ = 0;
    std::uint64_t snapshotEnd_ = 0;
};

} // namespace note
