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

/** Bounds of the memory that metrics take. */
struct Options
{
    std::size_t maxOtherCustomers_ = 32; ///< customers that are not configured
    std::size_t maxOtherClasses_ = 8;
    std::size_t maxSeries_ = 2000; ///< pairs of customer and class

    bool operator==(const Options &) const = default;
};

/** Histograms and counters for each customer and request class. For one task only. */
class Registry
{
public:
    explicit Registry(const Options &options = {});
    ~Registry();
    Registry(Registry &&) noexcept;
    Registry &operator=(Registry &&) noexcept;

    /** Takes over the names of customers and classes, which then have their own series. */
    void configure(const model::Config &config);

    /** Counts one finished request. */
    void record(const Sample &sample, base::Millis now);

    /** Copy of all series; values_ is empty and is filled in by the caller. */
    Snapshot snapshot() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace metrics
