#pragma once

#include <base/Error.h>

namespace bench {

class Cluster;

/** Returns once every daemon gets whole answers of every service; fails with "not-ready". */
base::Result<void> waitUntilServing(const Cluster &cluster);

} // namespace bench
