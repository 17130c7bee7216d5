#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/Error.h>
#include <bench/FinishedRequest.h>
#include <bench/PlannedCluster.h>

namespace bench {

/** Bounds on the fraction of the requests of a class that end with one outcome. */
struct OutcomeBounds
{
    double min_ = 0.0;
    double max_ = 1.0;

    bool operator==(const OutcomeBounds &) const = default;
};

/** What the replay of a trace must give, and the cluster that it is replayed to. */
struct StatedOutcomes
{
    PlannedCluster cluster_;
    std::map<std::string, std::map<RequestOutcome, OutcomeBounds>> byClass_;

    /** Reads YAML text; fails with "bad-outcomes", naming the line and field. */
    static base::Result<StatedOutcomes> parse(const std::string &text);

    /**
     * One line for each difference between what is stated and the requests, by class name.
     * A class without stated outcomes, and one without requests, are differences too.
     */
    std::vector<std::string>
    differences(const std::map<std::string, std::vector<RequestOutcome>> &outcomes) const;

    bool operator==(const StatedOutcomes &) const = default;
};

/** Stable text of an outcome, such as "not-run". */
std::string outcomeText(RequestOutcome outcome);

} // namespace bench
