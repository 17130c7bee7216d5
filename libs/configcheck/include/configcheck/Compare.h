#pragma once

#include <vector>

#include <configcheck/Difference.h>

namespace configcheck {

struct Draft;

/**
 * Differences from one configuration to another, entry by entry and field by field; none for equal
 * entries in another order. Routes are matched by host and path, all other entries by name. Of
 * entries that are given twice, the first is compared. Keys are named by the beginning of their
 * digests.
 */
std::vector<Difference> compare(const Draft &before, const Draft &after);

} // namespace configcheck
