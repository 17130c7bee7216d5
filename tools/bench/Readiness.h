#pragma once

#include <base/Error.h>

namespace bench {

class Cluster;

/** Waits until calls through every daemon to every service complete; fails with "not-ready". */
base::Result<void> waitUntilServing(const Cluster &cluster);

} // namespace bench
