#include <balance/HoldingTime.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace balance {

namespace {

constexpr double completionSmoothing = 1.0 / 64;
constexpr double slownessSmoothing = 1.0 / 8;
constexpr double usualSlownessSmoothing = 1.0 / 128;

// Bounds of the figure, and of its influence, as a server may report anything.
constexpr double maxSlowness = 100.0;
constexpr double maxCorrection = 2.0;

void smooth(double &mean, double value, double factor)
{
    mean = mean > 0 ? mean + factor * (value - mean) : value;
}

} // namespace

void HoldingTime::recordCompletion(base::Millis serviceTime)
{
    constexpr double minMs = 0.001;
    // The plain mean of the first completions: a single one may be far off.
    ++completions_;
    const double factor = std::max(completionSmoothing, 1.0 / static_cast<double>(completions_));
    smooth(meanMs_, std::max(minMs, serviceTime.fractional()), factor);
}

void HoldingTime::recordSlowness(double slowness)
{
    if (!(slowness > 0) || slowness > maxSlowness)
        return;
    smooth(slownessNow_, slowness, slownessSmoothing);
    smooth(slownessUsual_, slowness, usualSlownessSmoothing);
}

base::Millis HoldingTime::mean() const
{
    double correction = 1.0;
    if (slownessUsual_ > 0)
        correction = std::clamp(slownessNow_ / slownessUsual_, 1.0 / maxCorrection, maxCorrection);
    return base::Millis::fromMicros(std::llround(meanMs_ * correction * 1000.0));
}

} // namespace balance
