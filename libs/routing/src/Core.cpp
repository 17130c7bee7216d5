#include <routing/Core.h>

#include <details/State.h>
#include <details/TierLoad.h>

namespace routing {

struct Core::Impl
{
    details::State state_;
};

Core::Core(const Options &options)
    : impl_(std::make_unique<Impl>(Impl{details::State(options)}))
{}

Core::~Core() = default;
Core::Core(Core &&) noexcept = default;
Core &Core::operator=(Core &&) noexcept = default;

void Core::handle(const Event &event, base::Millis now)
{
    std::visit([&](const auto &alternative) { impl_->state_.on(alternative, now); }, event);
}

tl::expected<Choice, NoChoice> Core::choose(std::string_view service,
                                            const admission::Priority &priority,
                                            std::span<const std::string> excluded, base::Millis now)
{
    return impl_->state_.choose(service, priority, excluded, now);
}

admission::Level Core::level(std::string_view service, base::Millis now) const
{
    const details::Pool *pool = impl_->state_.pool(service);
    return pool != nullptr ? pool->level(now) : admission::Level::all();
}

std::size_t Core::inFlight(std::string_view instance) const
{
    const details::Instance *found = impl_->state_.instance(instance);
    return found != nullptr ? found->inFlight() : 0;
}

const LoadCounters &Core::loadCounters() const
{
    return impl_->state_.loadCounters();
}

std::vector<std::string> Core::services() const
{
    return impl_->state_.services();
}

std::vector<InstanceStatus> Core::instances(std::string_view service, base::Millis now) const
{
    std::vector<InstanceStatus> result;
    const details::Pool *pool = impl_->state_.pool(service);
    if (pool == nullptr)
        return result;
    for (const auto &tier : pool->tiers()) {
        const details::TierLoad load(tier, now);
        for (const auto &instance : tier) {
            result.push_back({.id_ = instance->member().id_,
                              .dataCentre_ = instance->member().dataCentre_,
                              .inFlight_ = instance->inFlight(),
                              .level_ = instance->level(now),
                              .isEjected_ = instance->isEjected(now),
                              .isDraining_ = instance->isDraining(now),
                              .load_ = load.status(*instance)});
        }
    }
    return result;
}

} // namespace routing
