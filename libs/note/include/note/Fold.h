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
 * Turns the records of the log, in their order, into a state.
 *
 * Is *attached* while no record is missing between its state and its place in the log. When the log
 * has been trimmed past that place it is detached: it keeps later records aside until a snapshot or
 * a peer's state closes the gap, and its state stays as it was.
 */
class Fold
{
public:
    /** There is nothing before `first` on the log any more. Starts or detaches the fold if needed.
     */
    void noteFirst(std::uint64_t first);

    /** Folds the record at an offset; records before position() are ignored. */
    void apply(std::uint64_t offset, std::string_view data);

    /** The records before `offset` that were not applied change nothing. */
    void skipTo(std::uint64_t offset);

    /** Takes in the state of another daemon. */
    void adopt(const State &state);

    /** The snapshot to append now: closes the gap when detached. Nothing without a state. */
    std::optional<Snapshot> snapshot() const;

    /** The offset to read next. */
    std::uint64_t position() const;

    /** False while records are missing between the state and position(). */
    bool attached() const { return attached_; }

    /** Nothing until a first state is known. */
    const std::optional<State> &state() const { return state_; }

    /** Records skipped because they could not be read. */
    std::uint64_t malformed() const { return malformed_; }

    /** Offset after the newest snapshot seen; 0 before the first. */
    std::uint64_t snapshotEnd() const { return snapshotEnd_; }

private:
    void fold(std::uint64_t offset, const Record &record);
    void attach(std::uint64_t position);

    std::optional<State> state_;
    bool attached_ = false;
    std::uint64_t position_ = 0;    ///< used while detached
    std::uint64_t pendingFrom_ = 0; ///< no record from here to position_ is missing in pending_
    std::map<std::uint64_t, ReleaseNote> pending_;
    std::uint64_t malformed_ = 0;
    std::uint64_t snapshotEnd_ = 0;
};

} // namespace note
