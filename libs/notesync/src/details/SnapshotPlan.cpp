#include "details/SnapshotPlan.h"

namespace notesync::details {

namespace {
constexpr std::int64_t snapshotsPerRetention = 4;
/** Time that each further writer leaves to those before it. */
constexpr base::Millis rankDelay(20000);
/** After a gap peers may still bring a newer state. */
constexpr base::Millis gapDelay(5000);
constexpr base::Millis minSpacing(30000);
} // namespace

SnapshotPlan::SnapshotPlan(base::Millis retention, std::uint64_t maxRecords, base::Millis now)
    : interval_(retention / snapshotsPerRetention)
    , maxRecords_(maxRecords)
    , snapshotSeen_(now)
    , notBefore_(now)
{}

void SnapshotPlan::sawLog(const note::Fold &fold, std::uint64_t first, base::Millis now)
{
    first_ = first;
    if (fold.snapshotEnd() == snapshotEnd_)
        return;
    snapshotEnd_ = fold.snapshotEnd();
    snapshotSeen_ = now;
}

bool SnapshotPlan::isNeeded(const note::Fold &fold, base::Millis now) const
{
    if (!fold.state())
        return false;
    if (!fold.attached())
        return true;
    if (fold.position() == 0)
        return false;
    const bool noneLeft = first_ > 0 && snapshotEnd_ <= first_;
    const bool manyRecords = fold.position() - snapshotEnd_ >= maxRecords_;
    return noneLeft || manyRecords || now >= snapshotSeen_ + interval_;
}

bool SnapshotPlan::isDue(const note::Fold &fold, std::size_t rank, base::Millis now)
{
    if (!isNeeded(fold, now)) {
        neededSince_.reset();
        return false;
    }
    if (!neededSince_)
        neededSince_ = now;
    const auto own = fold.attached() ? base::Millis(0) : gapDelay;
    const auto wait = own + rankDelay * static_cast<std::int64_t>(rank);
    return now >= notBefore_ && now >= *neededSince_ + wait;
}

void SnapshotPlan::appended(base::Millis now)
{
    notBefore_ = now + minSpacing;
    neededSince_.reset();
    ++appended_;
}

} // namespace notesync::details
