#include <details/TierLoad.h>

#include <algorithm>
#include <cmath>

#include <details/Instance.h>

namespace routing::details {

namespace {

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

double TierLoad::meanHoldingMs() const
{
    return rate_ > 0 ? limit_ / rate_ : 1.0;
}

double TierLoad::limit(const Instance &instance) const
{
    const auto &observed = instance.observedLoad();
    return observed ? observed->limit() : std::max<std::uint32_t>(1, instance.member().slots_);
}

double TierLoad::rate(const Instance &instance) const
{
    const auto &observed = instance.observedLoad();
    const double speed = observed ? observed->relativeSpeed(meanHoldingMs(), now_) : 1.0;
    return limit(instance) / meanHoldingMs() * speed;
}

double TierLoad::active(const Instance &instance) const
{
    const auto &observed = instance.observedLoad();
    const double own = instance.inFlight();
    return observed ? observed->active(instance.inFlight(), fairShare(instance), now_)
                    : std::max(own, fairShare(instance));
}

// Servers of different speeds are evenly loaded if equal shares of their slots are in use, and
// beyond that if they have equal waits.
double TierLoad::fairShare(const Instance &instance) const
{
    if (rate_ <= 0)
        return 0.0;
    const double usedShare = std::min(1.0, active_ / limit_);
    const double queued = std::max(0.0, active_ - limit_);
    return usedShare * limit(instance) + queued * rate(instance) / rate_;
}

double TierLoad::relativeLoad(const Instance &instance) const
{
    const double requests = active(instance) + 1.0;
    const double queued = std::max(0.0, requests - limit(instance));
    return std::min(1.0, requests / limit(instance)) + queued / rate(instance) / meanHoldingMs();
}

bool TierLoad::hasFreeSlot(const Instance &instance) const
{
    return instance.observedLoad() && active(instance) + 1.0 <= limit(instance);
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
