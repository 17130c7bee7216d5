#pragma once

#include <cstdint>
#include <string>

#include <model/Revision.h>

namespace notesync {

/** State of the release notes at one daemon, for operators. */
struct SyncStatus
{
    bool hasConfig_ = false;
    model::Revision revision_ = 0;
    std::string digest_;
    std::uint64_t position_ = 0; ///< offset of the log to read next
    bool attached_ = false;      ///< no record is missing
    bool isReader_ = false;      ///< polls the log for its data centre
    std::uint64_t malformedRecords_ = 0;
    std::uint64_t snapshotsAppended_ = 0;
    std::string logError_; ///< empty while the log answers or is not read

    bool operator==(const SyncStatus &) const = default;
};

} // namespace notesync
