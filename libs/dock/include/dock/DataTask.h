#pragma once

#include <functional>
#include <memory>

#include <ace/Task.h>
#include <base/Error.h>
#include <dock/CallInterface.h>
#include <dock/Messages.h>
#include <once/Incarnation.h>

namespace settings {
struct Settings;
}

namespace dock {

/**
 * Thread that owns the data path: the data port, the peer port and the connections to the backend
 * server. Other threads communicate with it by messages only.
 */
class DataTask : public ACE_Task<ACE_MT_SYNCH>
{
public:
    using SendFunction = std::function<void(ControlTaskMessage)>;

    /** The outbox is called on this task's thread. The settings must outlive the task. */
    DataTask(const settings::Settings &settings, once::Incarnation self, SendFunction sendMessage,
             CallInterface interface = {});
    ~DataTask() override;

    /** Binds the ports and starts the thread; fails with "listen-failed". */
    base::Result<void> start();

    /** Delivers a message. Safe from any thread. */
    void deliver(DataTaskMessage message);

    /** Ends the thread and waits for it. */
    void stop();

    int svc() override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace dock
