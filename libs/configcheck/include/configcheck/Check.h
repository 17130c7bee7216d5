#pragma once

#include <vector>

#include <base/Millis.h>
#include <configcheck/Finding.h>

namespace configcheck {

struct Draft;

/** Default length of the windows in which an allowance is kept. */
constexpr base::Millis defaultAllowanceWindow(5000);

/**
 * Checks a configuration: the faults of its reading, entries that can never match, and limits that
 * contradict each other. Findings name keys by the beginning of their digests.
 */
std::vector<Finding> check(const Draft &draft,
                           base::Millis allowanceWindow = defaultAllowanceWindow);

} // namespace configcheck
