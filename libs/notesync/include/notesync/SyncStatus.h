#pragma once

#include <cstdint>
#include <string>

#include <model/Revision.h>

namespace notesync {

/** Synchronisation status of one daemon, for operators. */
struct SyncStatus
{
    bool hasConfig_ = false;
    model::Revision revision_ = 0;
    std::string digest_;
    std::uint64_t logOffset_ = 0; ///< log offset to read next
    bool isComplete_ = false;     ///< no record is missing before logOffset_
    bool isReader_ = false;       ///< reads the log for its data centre
    std::uint64_t malformedRecords_ = 0;
    std::uint64_t snapshotsAppended_ = 0;
    std::string logError_; ///< of the last read; empty if it succeeded or there was none

    bool operator==(const SyncStatus &) const = default;
};

} // namespace notesync
