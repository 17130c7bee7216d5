#include <details/Ranking.h>

#include <algorithm>

#include <base/Overloaded.h>
#include <details/Instance.h>

namespace routing::details {

namespace {

// Two draws spread the calls of many daemons with equal views widely enough; a third one pays as
// reports tell more than own calls.
constexpr int drawsByOwnCalls = 2;
constexpr int drawsByReports = 3;

} // namespace

Ranking::Ranking(const Options &options, const std::vector<std::shared_ptr<Instance>> &tier,
                 base::Millis now)
{
    if (options.evenLoad_)
        basis_ = TierLoad(tier, now);
}

double Ranking::weight(const Instance &instance, const Options &options, base::Millis now) const
{
    const double bySlots = instance.weight(options, now);
    return std::visit(base::Overloaded{
                              [&](ByOwnCalls) { return bySlots; },
                              [&](const TierLoad &load) {
                                  const double slots =
                                          std::max<std::uint32_t>(1, instance.member().slots_);
                                  return bySlots / slots * load.rate(instance);
                              },
                      },
                      basis_);
}

int Ranking::draws() const
{
    return std::holds_alternative<TierLoad>(basis_) ? drawsByReports : drawsByOwnCalls;
}

double Ranking::load(const Instance &instance, double weight) const
{
    return std::visit(base::Overloaded{
                              [&](ByOwnCalls) { return instance.inFlight() / weight; },
                              [&](const TierLoad &load) { return load.relativeLoad(instance); },
                      },
                      basis_);
}

base::Millis Ranking::wait(const Instance &instance) const
{
    const auto *load = std::get_if<TierLoad>(&basis_);
    return load != nullptr ? load->wait(instance) : base::Millis();
}

base::Millis Ranking::evenWait() const
{
    const auto *load = std::get_if<TierLoad>(&basis_);
    return load != nullptr ? load->evenWait() : base::Millis();
}

bool Ranking::hasFreeSlot(const Instance &instance) const
{
    const auto *load = std::get_if<TierLoad>(&basis_);
    return load != nullptr && load->hasFreeSlot(instance);
}

std::optional<base::Millis> Ranking::maxWait(const Options &options) const
{
    const auto *load = std::get_if<TierLoad>(&basis_);
    if (load == nullptr || load->isEmpty())
        return std::nullopt;
    const auto wait = load->evenWait();
    if (wait == base::Millis())
        return options.handBackWait_;
    return wait + std::max(options.fullHandBackWait_, wait / 4);
}

} // namespace routing::details
