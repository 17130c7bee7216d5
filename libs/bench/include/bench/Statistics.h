#pragma once

#include <vector>

namespace bench {

/** Nearest-rank percentile for a fraction p from 0 to 1; 0 if there are no values. */
double percentile(std::vector<double> values, double p);

/** Median; the mean of the two middle values for an even count, 0 if there are no values. */
double median(std::vector<double> values);

} // namespace bench
