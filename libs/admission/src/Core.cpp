#include <admission/Core.h>

#include <details/State.h>

namespace admission {

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

std::vector<Command> Core::handle(const Event &event, base::Millis now)
{
    return impl_->state_.handle(event, now);
}

Level Core::level() const
{
    return impl_->state_.level();
}

Level Core::level(std::string_view customer) const
{
    return impl_->state_.level(customer);
}

std::uint32_t Core::limit() const
{
    return impl_->state_.limit();
}

std::size_t Core::running() const
{
    return impl_->state_.running();
}

std::size_t Core::queued() const
{
    return impl_->state_.queued();
}

std::size_t Core::queued(int rank) const
{
    return impl_->state_.queued(rank);
}

} // namespace admission
