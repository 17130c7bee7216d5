#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <base/Millis.h>
#include <metrics/Snapshot.h>

namespace metrics::details {

/** Buckets since process start, and quantiles over the last one to two minutes. */
class Histogram
{
public:
    Histogram();

    void add(base::Millis value, base::Millis now);

    /** Adds the counts and buckets of another histogram; its quantiles are lost. */
    void addTotals(const Histogram &other);

    Distribution distribution() const;

private:
    using Features = boost::accumulators::stats<boost::accumulators::tag::count,
                                                boost::accumulators::tag::max,
                                                boost::accumulators::tag::extended_p_square>;
    using Accumulator = boost::accumulators::accumulator_set<double, Features>;

    static Accumulator emptyAccumulator();

    Distribution total_;
    Accumulator current_;
    Accumulator previous_; ///< of the previous minute, reported until current_ has as many samples
    base::Millis nextRotation_;
};

} // namespace metrics::details
