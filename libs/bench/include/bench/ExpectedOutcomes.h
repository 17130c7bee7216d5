#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/Error.h>
#include <bench/FinishedRequest.h>
#include <bench/PlannedCluster.h>

namespace bench {

/** Bounds on the fraction of requests of a class with a given outcome. */
struct OutcomeBounds
{
    double min_ = 0.0;
    double max_ = 1.0;

    bool operator==(const OutcomeBounds &) const = default;
};

/** Expected outcomes of the replay of a trace, and the cluster to replay it on. */
struct ExpectedOutcomes
{
    PlannedCluster cluster_;
    std::map<std::string, std::map<RequestOutcome, OutcomeBounds>> byClass_;

    /** Parses YAML text; fails with "bad-outcomes" and the line and field at fault. */
    static base::Result<ExpectedOutcomes> parse(const std::string &text);

    /**
     * Describes each deviation of the actual outcomes, given by class name, from the expected ones.
     * A class without expected outcomes or without requests is a deviation too.
     */
    std::vector<std::string>
    deviations(const std::map<std::string, std::vector<RequestOutcome>> &outcomes) const;

    bool operator==(const ExpectedOutcomes &) const = default;
};

/** Stable name of an outcome, such as "not-run". */
std::string outcomeName(RequestOutcome outcome);

} // namespace bench
