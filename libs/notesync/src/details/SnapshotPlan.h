#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <base/Millis.h>
#include <note/Fold.h>

namespace notesync::details {

/** Says when this daemon has to append a snapshot of the state. */
class SnapshotPlan
{
public:
    SnapshotPlan(base::Millis retention, std::uint64_t maxRecords, base::Millis now);

    /** The log was read up to its end. */
    void sawLog(const note::Fold &fold, std::uint64_t first, base::Millis now);

    /** Whether to append now; `rank` is the place among the writers, 0 being the first. */
    bool isDue(const note::Fold &fold, std::size_t rank, base::Millis now);

    /** A snapshot was sent to the log. */
    void appended(base::Millis now);

    std::uint64_t appendedCount() const { return appended_; }

private:
    bool isNeeded(const note::Fold &fold, base::Millis now) const;

    const base::Millis interval_;
    const std::uint64_t maxRecords_;
    std::uint64_t snapshotEnd_ = 0;
    base::Millis snapshotSeen_;
    std::uint64_t first_ = 0;
    std::optional<base::Millis> neededSince_;
    base::Millis notBefore_;
    std::uint64_t appended_ = 0;
};

} // namespace notesync::details
