#include <details/Histogram.h>

#include <algorithm>

namespace metrics::details {

namespace {

namespace acc = boost::accumulators;

constexpr base::Millis quantilePeriod = base::Millis(60000);
// The estimate needs a few samples before its markers are set.
constexpr std::size_t fewestForQuantiles = 10;

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
    if (now >= rotateAt_) {
        previous_ = std::exchange(current_, emptyAccumulator());
        rotateAt_ = now + quantilePeriod;
    }
    const double millis = std::max(0.0, value.fractional());
    current_(millis);
    ++total_.count_;
    total_.sumMillis_ += millis;
    const auto bucket =
            std::lower_bound(bucketBoundsMillis.begin(), bucketBoundsMillis.end(), millis);
    ++total_.buckets_[bucket - bucketBoundsMillis.begin()];
}

Distribution Histogram::distribution() const
{
    Distribution result = total_;
    const bool isPreviousShown = acc::count(current_) < acc::count(previous_);
    const Accumulator &shown = isPreviousShown ? previous_ : current_;
    if (acc::count(shown) > 0)
        result.maxMillis_ = acc::max(shown);
    if (acc::count(shown) < fewestForQuantiles)
        return result;
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        result.quantileMillis_[i] = acc::extended_p_square(shown)[i];
    return result;
}

} // namespace metrics::details
