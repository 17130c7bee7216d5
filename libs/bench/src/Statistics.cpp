#include <bench/Statistics.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace bench {

double percentile(std::vector<double> values, double p)
{
    if (values.empty()) {
        return 0.0;
    }
    const double rank = std::ceil(p * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    if (values.size() % 2 == 1) {
        return values[middle];
    }
    return (values[middle - 1] + values[middle]) / 2;
}

} // namespace bench
