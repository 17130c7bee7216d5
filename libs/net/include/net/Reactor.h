#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <ace/Event_Handler.h>
#include <base/Millis.h>

namespace net {

/** Identifies one scheduled timer; 0 is never used. */
using TimerId = std::uint64_t;

/**
 * Event loop of one task: dispatches socket events (epoll) to ACE event handlers, and timers, on
 * one thread.
 *
 * Call all members except post() and stop() on the thread that calls run().
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

    /** Makes run() return after the current iteration. Thread-safe. */
    void stop();

    /** Calls the function on the reactor's thread, in the order posted. Thread-safe. */
    void post(std::function<void()> function);

    /** Calls the function once after the delay. */
    TimerId schedule(base::Millis delay, std::function<void()> function);

    /** Cancels a timer that has not run yet; ignores unknown ids. */
    void cancel(TimerId id);

    /**
     * Calls the handler when the socket is readable (READ_MASK, ACCEPT_MASK) or writable
     * (WRITE_MASK), until unwatch(). A second call for the same socket replaces mask and handler.
     * Return values of the handler are ignored.
     */
    void watch(int socket, ACE_Event_Handler &handler, ACE_Reactor_Mask mask);

    /** Stops watching a socket; call it before closing the socket. */
    void unwatch(int socket);

    /** Stops watching a socket and closes it. */
    void unwatchAndClose(int socket);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
