#include <routing/Core.h>

#include <details/State.h>

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

std::vector<InstanceStatus> Core::instances(std::string_view service, base::Millis now) const
{
    std::vector<InstanceStatus> result;
    const details::Pool *pool = impl_->state_.pool(service);
    if (pool == nullptr)
        return result;
    for (const auto &instance : pool->instances()) {
        result.push_back({.id_ = instance->member().id_,
                          .dataCentre_ = instance->member().dataCentre_,
                          .inFlight_ = instance->inFlight(),
                          .level_ = instance->level(now),
                          .isEjected_ = instance->isEjected(now),
                          .isDraining_ = instance->isDraining(now)});
    }
    return result;
}

} // namespace routing
