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
 * Thread that owns membership, release notes and administration. Other threads talk to it by
 * messages only.
 */
class ControlTask : public ACE_Task<ACE_MT_SYNCH>
{
public:
    using Outbox = std::function<void(ToData)>;
    using Ended = std::function<void()>;

    /**
     * The outbox and onEnded are called on this task's thread; onEnded once, when this daemon has
     * drained and said that it leaves. The settings must outlive the task. With a binding the
     * daemon runs on the platform, else with its own log.
     */
    ControlTask(const settings::Settings &settings, once::Incarnation self, Outbox outbox,
                Ended onEnded, std::optional<PlatformBinding> binding = {});
    ~ControlTask() override;

    /** Binds the ports and starts the thread; fails with "listen-failed" or "bind-failed". */
    base::Result<void> start();

    /** Delivers a message. Safe from any thread. */
    void deliver(ToControl message);

    /** Begins to leave: no new work, what runs is finished. Safe from any thread. */
    void beginDrain();

    /** Ends the thread and waits for it. */
    void stop();

    int svc() override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock
