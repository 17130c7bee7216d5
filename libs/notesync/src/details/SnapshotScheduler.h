#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <base/Millis.h>
#include <note/Fold.h>

namespace notesync::details {

/** Determines when this daemon appends a snapshot of its state to the log. */
class SnapshotScheduler
{
public:
    SnapshotScheduler(base::Millis retention, std::uint64_t maxRecords, base::Millis now);

    /** Records that the log was read to its end; `firstOffset` is its oldest offset. */
    void onLogEndReached(const note::Fold &fold, std::uint64_t firstOffset, base::Millis now);

    /** Whether to append now; `rank` is the rank among the snapshot writers, from 0. */
    bool isDue(const note::Fold &fold, std::size_t rank, base::Millis now);

    /** Records that the append of a snapshot was started. */
    void onAppended(base::Millis now);

    std::uint64_t appendedCount() const { return appendedCount_; }

private:
    bool isNeeded(const note::Fold &fold, base::Millis now) const;

    const base::Millis interval_;
    const std::uint64_t maxRecords_;
    std::uint64_t snapshotEndOffset_ = 0;
    base::Millis lastSnapshotTime_;
    std::uint64_t firstOffset_ = 0;
    std::optional<base::Millis> neededSince_;
    base::Millis earliestAppendTime_;
    std::uint64_t appendedCount_ = 0;
};

} // namespace notesync::details
