#pragma once

#include <string>
#include <vector>

#include <base/Millis.h>
#include <bench/PlannedStep.h>

namespace bench {

/** Part of an experiment with one rate of load. */
struct PlannedPhase
{
    std::string name_;
    base::Millis length_;
    double load_ = 1.0; ///< factor on the rate of the experiment
    std::vector<PlannedStep> steps_;

    bool operator==(const PlannedPhase &) const = default;
};

} // namespace bench
