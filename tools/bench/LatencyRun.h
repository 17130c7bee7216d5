#pragma once

#include <vector>

#include <base/Millis.h>
#include <model/Address.h>

namespace bench {

/** What a latency comparison sends. */
struct LatencyOptions
{
    model::Address direct_;  ///< the backend server
    model::Address layered_; ///< data port of a daemon that is not beside it
    double requestsPerSecond_ = 200.0;
    base::Millis duration_ = base::Millis(3000); ///< of each half of a round
    int rounds_ = 7;
    std::uint64_t seed_ = 1;
};

/** Latency of the calls of half a round. */
struct LatencySample
{
    double p50Ms_ = 0.0;
    double p99Ms_ = 0.0;
    double completeRatio_ = 0.0; ///< of the calls sent
};

/** Direct and layered calls of one round, one after the other. */
struct LatencyRound
{
    LatencySample direct_;
    LatencySample layered_;
};

/** Calls the backend server directly and through the layer in turn. */
std::vector<LatencyRound> measureLatency(const LatencyOptions &options);

} // namespace bench
