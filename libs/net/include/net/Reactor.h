#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <base/Millis.h>

class ACE_Reactor;

namespace net {

/** Names one scheduled timer; 0 names none. */
using TimerId = std::uint64_t;

/**
 * Event loop of one task: sockets and timers of one thread, over an ACE reactor on epoll.
 *
 * All members except post() and stop() are for the thread that calls run().
 */
class Reactor
{
public:
    Reactor();
    ~Reactor();
    Reactor(const Reactor &) = delete;
    Reactor &operator=(const Reactor &) = delete;

    /** Handles events until stop() is called. */
    void run();

    /** Handles events for at most the given time; for tests. */
    void runFor(base::Millis time);

    /** Ends run() soon. Safe from any thread. */
    void stop();

    /** Calls the function on the reactor's thread, in the order posted. Safe from any thread. */
    void post(std::function<void()> function);

    /** Calls the function once after the delay. */
    TimerId schedule(base::Millis delay, std::function<void()> function);

    /** Forgets a timer that has not run yet; an unknown id is ignored. */
    void cancel(TimerId id);

    /** The ACE reactor for event handlers of sockets. */
    ACE_Reactor &ace();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
