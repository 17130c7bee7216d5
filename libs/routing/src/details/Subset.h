#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace routing::details {

class Instance;

/**
 * The instances, at most size, that this daemon uses, by rendezvous hash of the daemon's id.
 *
 * When an instance comes or goes, at most one instance of the subset changes.
 */
std::vector<std::shared_ptr<Instance>> subsetOf(std::vector<std::shared_ptr<Instance>> instances,
                                                std::string_view daemonId, std::size_t size);

} // namespace routing::details
