#include <BackendRegistration.h>

#include <utility>

#include <net/Reactor.h>
#include <nlohmann/json.hpp>

namespace bench {

namespace {

constexpr base::Millis registrationInterval(1000);
constexpr base::Millis callTimeout(900);
constexpr const char *backendPath = "/.fuchsiadock/backend";
constexpr const char *loadPath = "/.fuchsiadock/backend/load";

} // namespace

BackendRegistration::BackendRegistration(net::Reactor &reactor, const BackendOptions &options,
                                         std::uint16_t port, std::function<BackendStatus()> status)
    : reactor_(reactor)
    , client_(reactor)
    , options_(options)
    , port_(port)
    , status_(std::move(status))
{}

void BackendRegistration::start()
{
    if (deregistered_ || !options_.daemon_) {
        return;
    }
    sendRegistration();
    reactor_.schedule(registrationInterval, [this] { start(); });
}

void BackendRegistration::deregister()
{
    deregistered_ = true;
    if (options_.daemon_) {
        send("DELETE", backendPath, "");
    }
}

void BackendRegistration::sendRegistration()
{
    const nlohmann::json registration = {{"service", options_.service_},
                                         {"port", port_},
                                         {"slots", options_.slots_},
                                         {"connections", options_.connections_}};
    send("PUT", backendPath, registration.dump());
    const BackendStatus status = status_();
    const nlohmann::json report = {{"load", status.load_}, {"healthy", status.healthy_}};
    send("PUT", loadPath, report.dump());
}

void BackendRegistration::send(const char *method, const char *path, std::string body)
{
    net::HttpRequest request{method, path, {{"Content-Type", "application/json"}}, std::move(body)};
    // Errors are ignored: a failed registration is repeated within a second.
    client_.send(*options_.daemon_, std::move(request), callTimeout, [](const auto &) {});
}

} // namespace bench
