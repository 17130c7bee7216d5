#pragma once

#include <iosfwd>
#include <string>

#include <ExperimentRun.h>

namespace bench {

/** Prints phases, goodput over time, recovery and run audit of one mode. */
void printExperiment(std::ostream &out, const ExperimentPlan &plan, const std::string &mode,
                     const ExperimentData &data);

/** Prints each target with the measured value; returns whether all targets are met. */
bool evaluateTargets(std::ostream &out, const ExperimentPlan &plan, const ExperimentData &data);

} // namespace bench
