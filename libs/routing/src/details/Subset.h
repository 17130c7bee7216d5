#pragma once

#include <cstddef>
#include <memory>
#include <vector>

namespace routing::details {

class Instance;

/**
 * The instances, at most size, that this daemon uses: those with the highest rendezvous weight.
 *
 * When an instance comes or goes, at most one instance of the subset changes.
 */
std::vector<std::shared_ptr<Instance>> subsetOf(std::vector<std::shared_ptr<Instance>> instances,
                                                std::size_t size);

} // namespace routing::details
