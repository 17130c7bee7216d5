#include <balance/ObservedLoad.h>

#include <algorithm>
#include <cmath>

namespace balance {

namespace {

/** Time to serve what an instance holds if its service times are not known. */
constexpr double defaultRoundMs = 50.0;
constexpr double memoryRounds = 20.0;

/** Servers are fast or slow for long, but one that gets few calls is not known for as long. */
constexpr double speedMemoryMs = 10'000.0;

// Bounds of the relative speed: a wrong report can neither draw nor repel much more than its share.
constexpr double minRelativeSpeed = 0.1;
constexpr double maxRelativeSpeed = 2.5;

} // namespace

double ObservedLoad::relativeSpeed(double meanHoldingMs, base::Millis now) const
{
    const double holdingMs = report_.holding_.fractional();
    if (holdingMs <= 0 || meanHoldingMs <= 0)
        return 1.0;
    const double reported =
            std::clamp(meanHoldingMs / holdingMs, minRelativeSpeed, maxRelativeSpeed);
    return 1.0 + (reported - 1.0) * std::exp(-std::max(0.0, age(now).fractional()) / speedMemoryMs);
}

// Chance differences are gone once the instance has served what it held. Lasting ones, such as a
// speed that changed, only show in reports, so these count for much longer.
double ObservedLoad::freshness(base::Millis now) const
{
    const double queueRounds = std::max(1.0, static_cast<double>(report_.active_) / report_.limit_);
    const double holdingMs = report_.holding_.fractional();
    const double roundMs = holdingMs > 0 ? holdingMs * queueRounds : defaultRoundMs;
    return std::exp(-std::max(0.0, age(now).fractional()) / (memoryRounds * roundMs));
}

double ObservedLoad::active(std::uint32_t ownCalls) const
{
    const double others = static_cast<double>(report_.active_) - ownCallsReported_;
    return ownCalls + std::max(0.0, others);
}

double ObservedLoad::active(std::uint32_t ownCalls, double fairShare, base::Millis now) const
{
    const double fresh = freshness(now);
    const double ownReported = ownCallsReported_;
    const double othersReported = std::max(0.0, report_.active_ - ownReported);
    const double othersFair = std::max(0.0, fairShare - ownReported);
    return ownCalls + fresh * othersReported + (1.0 - fresh) * othersFair;
}

} // namespace balance
