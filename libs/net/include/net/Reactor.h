#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <ace/Event_Handler.h>
#include <base/Millis.h>

namespace net {

/** Names one scheduled timer; 0 names none. */
using TimerId = std::uint64_t;

/**
 * Event loop of one task: sockets and timers of one thread, over epoll, for ACE event
 * handlers.
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

    /**
     * Tells the handler when the socket can be read (READ_MASK, ACCEPT_MASK) or written
     * (WRITE_MASK), until unwatch(); again for the same socket replaces mask and handler. What the
     * handler returns is ignored.
     */
    void watch(int socket, ACE_Event_Handler &handler, ACE_Reactor_Mask mask);

    /** Ends watching a socket; to be called before it is closed. */
    void unwatch(int socket);

    /** Closes a socket and ends watching it. */
    void unwatchAndClose(int socket);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
