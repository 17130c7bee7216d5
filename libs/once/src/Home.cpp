#include <once/Home.h>

#include <details/HomeCore.h>

namespace once {

struct Home::Impl
{
    details::HomeCore core_;
};

Home::Home(Incarnation self, const HomeSettings &settings, std::string secret)
    : impl_(std::make_unique<Impl>(Impl{details::HomeCore(std::move(self), settings, secret)}))
{}

Home::~Home() = default;

Key Home::issueKey(std::string customer, std::string service, base::Millis now)
{
    impl_->core_.advance(now);
    return impl_->core_.issueKey(std::move(customer), std::move(service));
}

std::vector<HomeCommand> Home::handle(const HomeEvent &event, base::Millis now)
{
    impl_->core_.advance(now);
    std::vector<HomeCommand> out;
    std::visit([&](const auto &one) { impl_->core_.on(one, out); }, event);
    impl_->core_.dropStaleTimers();
    return out;
}

bool Home::isHomeOf(const Key &key) const
{
    return key.home_ == impl_->core_.self();
}

base::Millis Home::nextWakeUp() const
{
    return impl_->core_.nextWakeUp();
}

RecordCounts Home::counts() const
{
    return impl_->core_.counts();
}

} // namespace once
