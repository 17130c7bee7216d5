#include "details/SnapshotScheduler.h"

namespace notesync::details {

namespace {
constexpr std::int64_t snapshotsPerRetention = 4;
/** Delay for each rank, so that a writer appends only if those before it did not. */
constexpr base::Millis rankDelay(20000);
/** While records are missing, a pull from a peer may still bring a newer state. */
constexpr base::Millis gapDelay(5000);
constexpr base::Millis minAppendInterval(30000);
} // namespace

SnapshotScheduler::SnapshotScheduler(base::Millis retention, std::uint64_t maxRecords,
                                     base::Millis now)
    : interval_(retention / snapshotsPerRetention)
    , maxRecords_(maxRecords)
    , lastSnapshotTime_(now)
    , earliestAppendTime_(now)
{}

void SnapshotScheduler::onLogEndReached(const note::Fold &fold, std::uint64_t firstOffset,
                                        base::Millis now)
{
    firstOffset_ = firstOffset;
    if (fold.snapshotEnd() == snapshotEndOffset_)
        return;
    snapshotEndOffset_ = fold.snapshotEnd();
    lastSnapshotTime_ = now;
}

bool SnapshotScheduler::isNeeded(const note::Fold &fold, base::Millis now) const
{
    if (!fold.state())
        return false;
    if (!fold.isComplete())
        return true;
    if (fold.position() == 0)
        return false;
    const bool isSnapshotTrimmed = firstOffset_ > 0 && snapshotEndOffset_ <= firstOffset_;
    const bool isRecordLimitReached = fold.position() - snapshotEndOffset_ >= maxRecords_;
    return isSnapshotTrimmed || isRecordLimitReached || now >= lastSnapshotTime_ + interval_;
}

bool SnapshotScheduler::isDue(const note::Fold &fold, std::size_t rank, base::Millis now)
{
    if (!isNeeded(fold, now)) {
        neededSince_.reset();
        return false;
    }
    if (!neededSince_)
        neededSince_ = now;
    const auto minDelay = fold.isComplete() ? base::Millis(0) : gapDelay;
    const auto delay = minDelay + rankDelay * static_cast<std::int64_t>(rank);
    return now >= earliestAppendTime_ && now >= *neededSince_ + delay;
}

void SnapshotScheduler::onAppended(base::Millis now)
{
    earliestAppendTime_ = now + minAppendInterval;
    neededSince_.reset();
    ++appendedCount_;
}

} // namespace notesync::details
