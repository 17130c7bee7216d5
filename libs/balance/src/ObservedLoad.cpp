#include <balance/ObservedLoad.h>

#include <algorithm>
#include <cmath>

namespace balance {

namespace {

/** Memory of a report whose service times are not known. */
constexpr double defaultMemoryMs = 50.0;

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

// The requests counted in a report have been replaced by others once the instance had time to serve
// them all.
double ObservedLoad::freshness(base::Millis now) const
{
    const double queueRounds = std::max(1.0, static_cast<double>(report_.active_) / report_.limit_);
    const double holdingMs = report_.holding_.fractional();
    const double memoryMs = holdingMs > 0 ? holdingMs * queueRounds : defaultMemoryMs;
    return std::exp(-std::max(0.0, age(now).fractional()) / memoryMs);
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
