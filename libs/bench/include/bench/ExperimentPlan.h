#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/Error.h>
#include <bench/PlannedPhase.h>
#include <bench/PlannedService.h>
#include <bench/RequestMix.h>
#include <bench/Targets.h>

namespace bench {

/** An overload experiment as its YAML file states it. */
struct ExperimentPlan
{
    std::string name_;
    std::uint64_t seed_ = 1;
    std::string note_; ///< path of the release note, relative to the plan
    std::string region_;
    std::vector<std::string> dataCentres_; ///< instances are spread over them in turn
    std::vector<std::string> modes_;
    std::vector<PlannedService> services_;
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
