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
 * Must be constructed before other threads start, as they inherit the blocked signals from it.
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
