#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <model/Member.h>

namespace follow {

/**
 * Whether a daemon is one of those of its data centre that keep a read outstanding at the log; the
 * others hear from these. Chosen by rendezvous hashing over the members known, so a daemon whose
 * view differs is a reader too many or too few for a while, which costs calls or time, never
 * correctness. A daemon that knows no other one is a reader.
 */
bool isReader(const std::vector<model::Member> &members, const std::string &selfId,
              const std::string &dataCentre, std::size_t readersPerDataCentre);

} // namespace follow
