#pragma once

#include <future>
#include <memory>

#include <base/Error.h>
#include <dock/ControlTask.h>
#include <dock/DataTask.h>
#include <settings/Settings.h>

namespace dock {

/** One daemon: its two tasks and the messages between them. */
class Daemon
{
public:
    /** With a binding the daemon runs on the platform, without one standalone. */
    explicit Daemon(settings::Settings settings, std::optional<PlatformBinding> binding = {});
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Binds all ports and starts; fails with the error of the first one that cannot be bound. */
    base::Result<void> start();

    /** Starts draining, and leaves afterwards. Safe from any thread. */
    void beginDrain();

    /** Becomes ready when this daemon has left. May be called once only. */
    std::future<void> ended();

private:
    const settings::Settings settings_;
    std::promise<void> ended_;
    std::unique_ptr<DataTask> dataTask_;
    std::unique_ptr<ControlTask> controlTask_;
};

} // namespace dock
