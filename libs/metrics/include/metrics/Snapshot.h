#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <metrics/CustomerUsage.h>
#include <metrics/Sample.h>

namespace metrics {

/** Upper bounds of the histogram buckets in milliseconds; a last bucket is unbounded. */
constexpr std::array<double, 14> bucketBoundsMillis = {0.5, 1,   2,   5,    10,   20,   50,
                                                       100, 200, 500, 1000, 2000, 5000, 10000};

/** Quantiles estimated for each distribution. */
constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

/** Distribution of a duration. */
struct Distribution
{
    std::uint64_t count_ = 0;
    double sumMillis_ = 0.0;
    double maxMillis_ = 0.0; ///< over the last one to two minutes, as are the quantiles
    std::array<std::uint64_t, bucketBoundsMillis.size() + 1> buckets_ = {}; ///< not cumulative
    std::array<double, quantiles.size()> quantileMillis_ = {};

    bool operator==(const Distribution &) const = default;
};

/** Metrics of one customer and request class. */
struct Series
{
    std::string customer_;
    std::string requestClass_;
    std::array<std::uint64_t, outcomeCount> outcomes_ = {}; ///< by Outcome
    std::uint64_t attempts_ = 0;
    Distribution latency_;
    Distribution queueing_;

    bool operator==(const Series &) const = default;
};

/** Type of a Value: a counter only increases; a gauge may increase and decrease. */
enum class ValueKind : std::uint8_t { Counter, Gauge };

/** One metric outside the series, such as the concurrency limit; the name has no prefix. */
struct Value
{
    std::string name_;
    std::string help_;
    ValueKind kind_ = ValueKind::Gauge;
    std::vector<std::pair<std::string, std::string>> labels_;
    double value_ = 0.0;

    bool operator==(const Value &) const = default;
};

/** Copy of all metrics at a point in time; may be passed between tasks. */
struct Snapshot
{
    std::vector<Series> series_;
    std::vector<CustomerUsage> customers_; ///< empty if no customers are configured
    std::vector<Value> values_;

    bool operator==(const Snapshot &) const = default;
};

} // namespace metrics
