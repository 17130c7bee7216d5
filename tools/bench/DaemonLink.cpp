#include <DaemonLink.h>

#include <utility>

#include <net/Reactor.h>
#include <nlohmann/json.hpp>

namespace bench {

namespace {

constexpr base::Millis announceInterval(1000);
constexpr base::Millis callTimeout(900);
constexpr const char *backendPath = "/.fuchsiadock/backend";
constexpr const char *loadPath = "/.fuchsiadock/backend/load";

} // namespace

DaemonLink::DaemonLink(net::Reactor &reactor, const BackendOptions &options, std::uint16_t port,
                       std::function<BackendStatus()> status)
    : reactor_(reactor)
    , client_(reactor)
    , options_(options)
    , port_(port)
    , status_(std::move(status))
{}

void DaemonLink::start()
{
    if (leaving_ || !options_.daemon_) {
        return;
    }
    announce();
    reactor_.schedule(announceInterval, [this] { start(); });
}

void DaemonLink::leave()
{
    leaving_ = true;
    if (options_.daemon_) {
        put("DELETE", backendPath, "");
    }
}

void DaemonLink::announce()
{
    const nlohmann::json announcement = {{"service", options_.service_},
                                         {"port", port_},
                                         {"slots", options_.slots_},
                                         {"connections", options_.connections_}};
    put("PUT", backendPath, announcement.dump());
    const BackendStatus status = status_();
    const nlohmann::json report = {{"load", status.load_}, {"healthy", status.healthy_}};
    put("PUT", loadPath, report.dump());
}

void DaemonLink::put(const char *method, const char *path, std::string body)
{
    net::HttpRequest request{method, path, {{"Content-Type", "application/json"}}, std::move(body)};
    // The next announcement makes up for one that fails.
    client_.send(*options_.daemon_, std::move(request), callTimeout, [](const auto &) {});
}

} // namespace bench
