#pragma once

#include <bench/PlannedCluster.h>

namespace YAML { // NOLINT(readability-identifier-naming): name of yaml-cpp
class Node;
}

namespace bench::details {

/** Parses the cluster fields of a plan; throws YAML::Exception. */
PlannedCluster parseCluster(const YAML::Node &node);

} // namespace bench::details
