#pragma once

#include <iosfwd>
#include <string>

#include <ExperimentRun.h>

namespace bench {

/** Prints phases, goodput over time, recovery and the audit of runs of one mode. */
void printExperiment(std::ostream &out, const ExperimentPlan &plan, const std::string &mode,
                     const ExperimentData &data);

/** Prints each target with what was reached; true when all were met. */
bool judgeExperiment(std::ostream &out, const ExperimentPlan &plan, const ExperimentData &data);

} // namespace bench
