#include <allowance/Bounds.h>

#include <algorithm>

namespace allowance {

namespace {

/** Leaves room for the drift of clocks. */
constexpr double usedExcess = 0.9;

constexpr double minStored = 2;

} // namespace

Bounds Bounds::of(const model::Allowance &allowance, const Settings &settings)
{
    const double window = settings.window_.fractional() / 1000;
    double rate = allowance.ratePerSecond_;
    const double excess =
            usedExcess * (settings.overrun_ * (rate * window + allowance.burst_) + settings.slack_);
    // A request that has not run gives its token back within this time, when the bucket may already
    // have been refilled.
    const double givenBackLate = rate * settings.minAskInterval_.fractional() / 1000;
    double stored = allowance.burst_ + excess - givenBackLate;
    // Both the bucket and the tokens on their way need room for one token.
    if (stored < minStored) {
        const double fromRate = std::min(minStored - stored, rate * window / 2);
        stored += fromRate;
        rate -= fromRate / window;
    }
    const double carry =
            std::clamp(excess, std::min(1.0, stored / 2), std::max(stored - 1, stored / 2));
    return Bounds{rate, stored - carry, carry};
}

} // namespace allowance
