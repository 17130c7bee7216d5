#pragma once

#include <vector>

namespace bench {

/** Smallest value that at least the fraction p (0 to 1) of the values do not exceed; 0 of none. */
double percentile(std::vector<double> values, double p);

/** Mean of the two middle values, or the middle one; 0 of none. */
double median(std::vector<double> values);

} // namespace bench
