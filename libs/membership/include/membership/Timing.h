#pragma once

#include <cstddef>

#include <base/Millis.h>

namespace membership {

/** Intervals and limits of the protocol. */
struct Timing
{
    base::Millis probeInterval_ = base::Millis(1000);
    base::Millis probeTimeout_ = base::Millis(400); ///< until indirect probes are requested
    std::size_t indirectProbes_ = 3;
    std::size_t suspicionFactor_ = 4; ///< time-out: factor * log10(members) probe intervals
    base::Millis gossipInterval_ = base::Millis(100); ///< while updates are queued
    std::size_t gossipFanOut_ = 3;
    std::size_t gossipBytesPerSecond_ = 16 * 1024; ///< sustained; probes are not delayed
    std::size_t gossipBurstBytes_ = 256 * 1024;
    base::Millis digestInterval_ = base::Millis(1000); ///< minimum time between two requests
    std::size_t maxDigestRecords_ = 48;                ///< more differing records are sent over TCP
    std::size_t relaysPerDataCentre_ = 3;
    base::Millis relayInterval_ = base::Millis(1000); ///< between probes of each other data centre
    base::Millis dataCentreTimeout_ = base::Millis(15000);
    base::Millis reconnectInterval_ = base::Millis(5000);        ///< between pings of dead members
    base::Millis tombstoneRetention_ = base::Millis(86'400'000); ///< 24 hours
    base::Millis pauseThreshold_ = base::Millis(3000); ///< longer between ticks: process was paused
    base::Millis joinInterval_ = base::Millis(300);    ///< while no other daemon is known
    base::Millis isolationTimeout_ = base::Millis(15000);

    bool operator==(const Timing &) const = default;
};

} // namespace membership
