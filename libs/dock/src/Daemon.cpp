#include <dock/Daemon.h>

#include <base/Clock.h>

namespace dock {

Daemon::Daemon(settings::Settings settings, std::optional<PlatformBinding> binding)
    : settings_(std::move(settings))
{
    const once::Incarnation self{settings_.id_,
                                 static_cast<std::uint64_t>(base::wallNow().micros())};
    dataTask_ = std::make_unique<DataTask>(
            settings_, self,
            [this](ControlTaskMessage message) { controlTask_->deliver(std::move(message)); },
            binding ? binding->interface_ : CallInterface());
    controlTask_ = std::make_unique<ControlTask>(
            settings_, self,
            [this](const DataTaskMessage &message) { dataTask_->deliver(message); },
            [this] { ended_.set_value(); }, std::move(binding));
}

Daemon::~Daemon()
{
    dataTask_->stop();
    controlTask_->stop();
}

base::Result<void> Daemon::start()
{
    if (auto control = controlTask_->start(); !control)
        return control;
    return dataTask_->start();
}

void Daemon::beginDrain()
{
    controlTask_->beginDrain();
}

std::future<void> Daemon::ended()
{
    return ended_.get_future();
}

} // namespace dock
