#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/Error.h>
#include <bench/ExperimentTargets.h>
#include <bench/PlannedCluster.h>
#include <bench/PlannedPhase.h>
#include <bench/RequestMix.h>

namespace bench {

/** Overload experiment, as read from its YAML file. */
struct ExperimentPlan
{
    std::string name_;
    PlannedCluster cluster_;
    std::vector<std::string> modes_;
    RequestMix mix_;
    double requestsPerSecond_ = 100.0; ///< new requests per second at load factor 1
    std::uint32_t retries_ = 0;
    base::Millis retryDelay_ = base::Millis(0);
    std::vector<PlannedPhase> phases_;
    ExperimentTargets targets_;

    /** Parses YAML text; fails with "bad-plan" and the line and field at fault. */
    static base::Result<ExperimentPlan> parse(const std::string &text);

    bool operator==(const ExperimentPlan &) const = default;
};

} // namespace bench
