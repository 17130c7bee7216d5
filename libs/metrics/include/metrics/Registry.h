#pragma once

#include <cstddef>
#include <memory>

#include <base/Millis.h>
#include <metrics/Sample.h>
#include <metrics/Snapshot.h>

namespace model {
struct Config;
}

namespace metrics {

/** Limits of the memory used by metrics. */
struct Options
{
    std::size_t maxCustomers_ = 64;      ///< configured customers, those that send most
    std::size_t maxOtherCustomers_ = 32; ///< customers that are not configured
    std::size_t maxOtherClasses_ = 8;
    std::size_t maxSeries_ = 2000; ///< pairs of customer and class

    bool operator==(const Options &) const = default;
};

/**
 * Histograms and counters for each customer and request class. For use by one task only.
 *
 * Customers beyond the limit are summed as "other". A customer that is replaced by a larger one is
 * added to "other", so that no counter ever decreases.
 */
class Registry
{
public:
    explicit Registry(const Options &options = {});
    ~Registry();
    Registry(Registry &&) noexcept;
    Registry &operator=(Registry &&) noexcept;

    /** Sets the configured customers and classes. */
    void configure(const model::Config &config);

    /** Records one finished request. */
    void record(const Sample &sample, base::Millis now);

    /** Copy of all series; values_ is left empty for the caller to fill. */
    Snapshot snapshot(base::Millis now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace metrics
