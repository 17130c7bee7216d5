#include <details/Histogram.h>

#include <algorithm>

namespace metrics::details {

namespace {

namespace acc = boost::accumulators;

constexpr base::Millis quantilePeriod = base::Millis(60000);
// The P-square estimator needs a few samples to initialise its markers.
constexpr std::size_t minSamplesForQuantiles = 10;

} // namespace

Histogram::Accumulator Histogram::emptyAccumulator()
{
    return Accumulator(acc::extended_p_square_probabilities = quantiles);
}

Histogram::Histogram()
    : current_(emptyAccumulator())
    , previous_(emptyAccumulator())
{}

void Histogram::add(base::Millis value, base::Millis now)
{
    if (now >= nextRotation_) {
        previous_ = std::exchange(current_, emptyAccumulator());
        nextRotation_ = now + quantilePeriod;
    }
    const double millis = std::max(0.0, value.fractional());
    current_(millis);
    ++total_.count_;
    total_.sumMillis_ += millis;
    const auto bucket =
            std::lower_bound(bucketBoundsMillis.begin(), bucketBoundsMillis.end(), millis);
    ++total_.buckets_[bucket - bucketBoundsMillis.begin()];
}

void Histogram::addTotals(const Histogram &other)
{
    total_.count_ += other.total_.count_;
    total_.sumMillis_ += other.total_.sumMillis_;
    for (std::size_t i = 0; i < total_.buckets_.size(); ++i)
        total_.buckets_[i] += other.total_.buckets_[i];
}

Distribution Histogram::distribution() const
{
    Distribution result = total_;
    const bool usePrevious = acc::count(current_) < acc::count(previous_);
    const Accumulator &source = usePrevious ? previous_ : current_;
    if (acc::count(source) > 0)
        result.maxMillis_ = acc::max(source);
    if (acc::count(source) < minSamplesForQuantiles)
        return result;
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        result.quantileMillis_[i] = acc::extended_p_square(source)[i];
    return result;
}

} // namespace metrics::details
