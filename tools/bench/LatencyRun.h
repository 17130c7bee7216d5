#pragma once

#include <vector>

#include <base/Millis.h>
#include <model/Address.h>

namespace bench {

/** Settings of a latency comparison. */
struct LatencyOptions
{
    model::Address direct_;     ///< the backend server
    model::Address viaDaemons_; ///< data port of a daemon of another instance
    double requestsPerSecond_ = 200.0;
    base::Millis duration_ = base::Millis(3000); ///< of each half of a round
    int rounds_ = 7;
    std::uint64_t seed_ = 1;
};

/** Latency of the calls in one half of a round. */
struct LatencySample
{
    double p50Ms_ = 0.0;
    double p99Ms_ = 0.0;
    double completeRatio_ = 0.0; ///< fraction of the calls sent
};

/** Samples of direct calls and of calls through the daemons in one round. */
struct LatencyRound
{
    LatencySample direct_;
    LatencySample viaDaemons_;
};

/** Measures calls to the backend server alternately directly and through the daemons. */
std::vector<LatencyRound> measureLatency(const LatencyOptions &options);

} // namespace bench
