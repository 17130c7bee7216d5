#include <bench/ServiceTime.h>

#include <cmath>
#include <numbers>

namespace bench {

namespace {

/** Standard normal sample (Box-Muller transform). */
double sampleStandardNormal(base::Random &random)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    return radius * std::cos(2.0 * std::numbers::pi * random.unit());
}

} // namespace

base::Millis ServiceTime::sample(base::Random &random) const
{
    if (variation_ <= 0.0) {
        return mean_;
    }
    const double variance = std::log(1.0 + variation_ * variation_);
    const double exponent = std::sqrt(variance) * sampleStandardNormal(random) - variance / 2;
    const double micros = static_cast<double>(mean_.micros()) * std::exp(exponent);
    return base::Millis::fromMicros(static_cast<std::int64_t>(micros));
}

} // namespace bench
