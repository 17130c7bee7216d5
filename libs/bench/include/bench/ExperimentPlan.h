#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/Error.h>
#include <bench/PlannedCluster.h>
#include <bench/PlannedPhase.h>
#include <bench/RequestMix.h>
#include <bench/Targets.h>

namespace bench {

/** An overload experiment as its YAML file states it. */
struct ExperimentPlan
{
    std::string name_;
    PlannedCluster cluster_;
    std::vector<std::string> modes_;
    RequestMix mix_;
    double rate_ = 100.0; ///< requests a second at load 1
    std::uint32_t retries_ = 0;
    base::Millis retryDelay_ = base::Millis(0);
    std::vector<PlannedPhase> phases_;
    Targets targets_;

    /** Reads YAML text; fails with "bad-plan", naming the line and field. */
    static base::Result<ExperimentPlan> parse(const std::string &text);

    bool operator==(const ExperimentPlan &) const = default;
};

} // namespace bench
