#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <bench/PlannedService.h>

namespace bench {

/** Daemons and backend servers that an experiment or a replay starts. */
struct PlannedCluster
{
    std::uint64_t seed_ = 1;
    std::string notePath_; ///< path of the release note, relative to the plan
    std::string region_;
    std::vector<std::string> dataCentres_; ///< instances are assigned to them round-robin
    std::vector<PlannedService> services_;

    bool operator==(const PlannedCluster &) const = default;
};

} // namespace bench
