#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace notesync {

/** Who this daemon is and how often it talks to the log and to other daemons. */
struct SyncOptions
{
    std::string selfId_;
    std::string dataCentre_;
    std::string stream_ = "fuchsiadock-notes"; ///< stream of the release notes on the log
    std::uint64_t seed_ = 1;                   ///< for jitter and the choice of peers
    std::size_t readersPerDataCentre_ = 2;
    std::size_t announceFanOut_ = 4;      ///< daemons of the data centre told of a new state
    std::uint64_t snapshotRecords_ = 512; ///< records after which a snapshot is appended
    base::Millis pollInterval_ = base::Millis(1000);       ///< of a reader
    base::Millis alonePollInterval_ = base::Millis(10000); ///< while no other daemon is known
    base::Millis startSpread_ = base::Millis(3000);        ///< first read is within this time
    base::Millis logFallback_ = base::Millis(5000); ///< without a state, read the log after this
    base::Millis retention_ = base::Millis(3600 * 1000); ///< how long the log keeps records
    base::Millis publishTimeout_ = base::Millis(10000);
    base::Millis antiEntropyInterval_ = base::Millis(30000); ///< between checks with any peer
};

} // namespace notesync
