#pragma once

#include <functional>
#include <thread>

namespace net {
class Reactor;
}

namespace bench {

/**
 * Runs a function on the reactor's thread when the process receives SIGTERM or SIGINT.
 *
 * Construct it before any other thread, so that every thread inherits the blocked signals.
 */
class SignalWaiter
{
public:
    SignalWaiter(net::Reactor &reactor, std::function<void()> onSignal);
    ~SignalWaiter();
    SignalWaiter(const SignalWaiter &) = delete;
    SignalWaiter &operator=(const SignalWaiter &) = delete;

private:
    std::thread thread_;
};

} // namespace bench
