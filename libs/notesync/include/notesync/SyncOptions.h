#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace notesync {

/** Identity of this daemon, and intervals and limits of its traffic to the log and to peers. */
struct SyncOptions
{
    std::string selfId_;
    std::string dataCentre_;
    std::string stream_ = "fuchsiadock-notes"; ///< stream of the release notes on the log
    std::uint64_t seed_ = 1;                   ///< for jitter and the choice of peers
    std::size_t readersPerDataCentre_ = 2;
    std::size_t announceFanOut_ = 4;                 ///< daemons of the data centre to announce to
    std::uint64_t recordsPerSnapshot_ = 512;         ///< records after which a snapshot is appended
    base::Millis pollInterval_ = base::Millis(1000); ///< of a log reader
    base::Millis alonePollInterval_ = base::Millis(10000); ///< of non-readers, or without peers
    base::Millis startSpread_ = base::Millis(3000);        ///< maximum delay of the first read
    base::Millis logFallbackDelay_ = base::Millis(5000);   ///< then reads the log if without config
    base::Millis retention_ = base::Millis(3600 * 1000);   ///< how long the log keeps records
    base::Millis publishTimeout_ = base::Millis(10000);
    base::Millis antiEntropyInterval_ = base::Millis(30000); ///< between pulls from a random peer
};

} // namespace notesync
