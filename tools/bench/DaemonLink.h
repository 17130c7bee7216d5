#pragma once

#include <functional>

#include <BackendOptions.h>
#include <net/HttpClient.h>

namespace net {
class Reactor;
}

namespace bench {

/** What a backend server reports about itself. */
struct BackendStatus
{
    double load_ = 0.0; ///< 0 to 1
    bool healthy_ = true;
};

/** Announces a backend server to the daemon beside it, once a second, until it leaves. */
class DaemonLink
{
public:
    DaemonLink(net::Reactor &reactor, const BackendOptions &options, std::uint16_t port,
               std::function<BackendStatus()> status);

    /** Announces now, and every second from now on. */
    void start();

    /** Tells the daemon that this backend server leaves. */
    void leave();

private:
    void announce();
    void put(const char *method, const char *path, std::string body);

    net::Reactor &reactor_;
    net::HttpClient client_;
    const BackendOptions &options_;
    std::uint16_t port_;
    std::function<BackendStatus()> status_;
    bool leaving_ = false;
};

} // namespace bench
