#include <dock/Daemon.h>

#include <base/Clock.h>

namespace dock {

Daemon::Daemon(settings::Settings settings, std::optional<PlatformBinding> binding)
    : settings_(std::move(settings))
{
    const once::Incarnation self{settings_.id_,
                                 static_cast<std::uint64_t>(base::wallNow().micros())};
    data_ = std::make_unique<DataTask>(
            settings_, self, [this](ToControl message) { control_->deliver(std::move(message)); },
            binding ? binding->interface_ : CallInterface());
    control_ = std::make_unique<ControlTask>(
            settings_, self, [this](ToData message) { data_->deliver(std::move(message)); },
            [this] { ended_.set_value(); }, std::move(binding));
}

Daemon::~Daemon()
{
    data_->stop();
    control_->stop();
}

base::Result<void> Daemon::start()
{
    if (auto control = control_->start(); !control)
        return control;
    return data_->start();
}

void Daemon::beginDrain()
{
    control_->beginDrain();
}

std::future<void> Daemon::ended()
{
    return ended_.get_future();
}

} // namespace dock
