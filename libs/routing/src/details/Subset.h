#pragma once

#include <cstddef>
#include <memory>
#include <vector>

namespace routing::details {

class Instance;

/**
 * Selects the instances, at most size, with the highest rendezvous weight for this daemon.
 *
 * When an instance is added or removed, at most one instance of the subset changes.
 */
std::vector<std::shared_ptr<Instance>>
selectSubset(std::vector<std::shared_ptr<Instance>> instances, std::size_t size);

} // namespace routing::details
