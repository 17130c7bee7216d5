#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <ace/Task.h>
#include <base/Error.h>
#include <dock/Messages.h>
#include <dock/PlatformBinding.h>
#include <once/Incarnation.h>

namespace settings {
struct Settings;
}

namespace dock {

/**
 * Thread that owns membership, the configuration source and administration. Other threads
 * communicate with it by messages only.
 */
class ControlTask : public ACE_Task<ACE_MT_SYNCH>
{
public:
    using SendFunction = std::function<void(DataTaskMessage)>;
    using EndedCallback = std::function<void()>;

    /**
     * sendMessage and onEnded are called on this task's thread; onEnded once, after this daemon has
     * drained and announced that it leaves. The settings must outlive the task. With a binding the
     * daemon runs on the platform, without one standalone, with the log in the settings.
     */
    ControlTask(const settings::Settings &settings, once::Incarnation self,
                SendFunction sendMessage, EndedCallback onEnded,
                std::optional<PlatformBinding> binding = {});
    ~ControlTask() override;

    /** Binds the ports and starts the thread; fails with "listen-failed" or "bind-failed". */
    base::Result<void> start();

    /** Delivers a message. Safe from any thread. */
    void deliver(ControlTaskMessage message);

    /** Starts draining: new requests are soon refused, running ones finish. Safe from any thread.
     */
    void beginDrain();

    /** Ends the thread and waits for it. */
    void stop();

    int svc() override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock
