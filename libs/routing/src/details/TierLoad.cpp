#include <details/TierLoad.h>

#include <algorithm>
#include <cmath>

#include <details/Instance.h>

namespace routing::details {

namespace {

// Bounds of the speed of an instance relative to that of its tier: a wrong report can neither draw
// nor repel much more than its share.
constexpr double minRelativeSpeed = 0.1;
constexpr double maxRelativeSpeed = 2.5;

base::Millis millisOf(double millis)
{
    return base::Millis::fromMicros(std::llround(millis * 1000.0));
}

bool hasRate(const Instance &instance)
{
    return instance.observedLoad() && instance.observedLoad()->holding() > base::Millis();
}

} // namespace

TierLoad::TierLoad(const std::vector<std::shared_ptr<Instance>> &tier, base::Millis now)
    : now_(now)
{
    for (const auto &instance : tier) {
        if (!hasRate(*instance) || instance->isDraining(now))
            continue;
        const auto &observed = *instance->observedLoad();
        limit_ += observed.limit();
        active_ += observed.active(instance->inFlight());
        rate_ += observed.limit() / observed.holding().fractional();
    }
}

double TierLoad::rate(const Instance &instance) const
{
    const double ratePerSlot = limit_ > 0 ? rate_ / limit_ : 1.0;
    if (!hasRate(instance))
        return std::max<std::uint32_t>(1, instance.member().slots_) * ratePerSlot;
    const auto &observed = *instance.observedLoad();
    const double speed = 1.0 / (observed.holding().fractional() * ratePerSlot);
    return observed.limit() * ratePerSlot * std::clamp(speed, minRelativeSpeed, maxRelativeSpeed);
}

double TierLoad::active(const Instance &instance) const
{
    if (!instance.observedLoad())
        return instance.inFlight();
    return instance.observedLoad()->active(instance.inFlight(), fairShare(instance), now_);
}

// Servers of different speeds are evenly loaded if equal shares of their slots are in use, and
// beyond that if they have equal waits.
double TierLoad::fairShare(const Instance &instance) const
{
    const double limit = instance.observedLoad()->limit();
    if (limit_ <= 0 || rate_ <= 0)
        return limit;
    const double usedShare = std::min(1.0, active_ / limit_);
    const double queued = std::max(0.0, active_ - limit_);
    return usedShare * limit + queued * rate(instance) / rate_;
}

double TierLoad::relativeLoad(const Instance &instance) const
{
    const double requests = active(instance) + 1.0;
    const double limit = instance.observedLoad() ? instance.observedLoad()->limit()
                                                 : std::max<std::uint32_t>(1, instance.member().slots_);
    const double queued = std::max(0.0, requests - limit);
    const double meanHolding = rate_ > 0 ? limit_ / rate_ : 1.0;
    return std::min(1.0, requests / limit) + queued / rate(instance) / meanHolding;
}

base::Millis TierLoad::wait(const Instance &instance) const
{
    if (!hasRate(instance))
        return {};
    const double excess = active(instance) + 1.0 - instance.observedLoad()->limit();
    return millisOf(std::max(0.0, excess) / rate(instance));
}

base::Millis TierLoad::evenWait() const
{
    return rate_ > 0 ? millisOf(std::max(0.0, active_ + 1.0 - limit_) / rate_) : base::Millis();
}

std::optional<LoadStatus> TierLoad::status(const Instance &instance) const
{
    if (!instance.observedLoad())
        return std::nullopt;
    return LoadStatus{.active_ = active(instance),
                      .limit_ = instance.observedLoad()->limit(),
                      .holding_ = instance.observedLoad()->holding(),
                      .age_ = instance.observedLoad()->age(now_)};
}

} // namespace routing::details
