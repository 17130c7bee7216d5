#pragma once

#include <string>
#include <vector>

#include <base/Millis.h>
#include <bench/PlannedStep.h>

namespace bench {

/** Phase of an experiment with a constant request rate. */
struct PlannedPhase
{
    std::string name_;
    base::Millis duration_;
    double loadFactor_ = 1.0; ///< multiplier of the request rate of the experiment
    std::vector<PlannedStep> steps_;

    bool operator==(const PlannedPhase &) const = default;
};

} // namespace bench
