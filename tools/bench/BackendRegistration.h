#pragma once

#include <functional>

#include <BackendOptions.h>
#include <net/HttpClient.h>

namespace net {
class Reactor;
}

namespace bench {

/** Load and health that a backend server reports to its daemon. */
struct BackendStatus
{
    double load_ = 0.0; ///< 0 to 1
    bool healthy_ = true;
};

/** Registers a backend server with its local daemon every second until it deregisters. */
class BackendRegistration
{
public:
    BackendRegistration(net::Reactor &reactor, const BackendOptions &options, std::uint16_t port,
                        std::function<BackendStatus()> status);

    /** Registers now and every second from then on. */
    void start();

    /** Deregisters from the daemon and stops the periodic registration. */
    void deregister();

private:
    void sendRegistration();
    void send(const char *method, const char *path, std::string body);

    net::Reactor &reactor_;
    net::HttpClient client_;
    const BackendOptions &options_;
    std::uint16_t port_;
    std::function<BackendStatus()> status_;
    bool deregistered_ = false;
};

} // namespace bench
