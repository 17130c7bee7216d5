#include <SignalWaiter.h>

#include <csignal>
#include <utility>

#include <net/Reactor.h>
#include <pthread.h>

namespace bench {

namespace {

sigset_t waitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1); // sent by the destructor to end the thread
    return signals;
}

} // namespace

SignalWaiter::SignalWaiter(net::Reactor &reactor, std::function<void()> onSignal)
{
    const sigset_t signals = waitedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    thread_ = std::thread([&reactor, signals, onSignal = std::move(onSignal)] {
        int received = 0;
        while (sigwait(&signals, &received) == 0 && received != SIGUSR1) {
            reactor.post(onSignal);
        }
    });
}

SignalWaiter::~SignalWaiter()
{
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
}

} // namespace bench
