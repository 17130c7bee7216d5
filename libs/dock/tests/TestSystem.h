#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <dock/DataTask.h>
#include <model/Config.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>
#include <settings/Settings.h>

namespace dock::testing {

/** Reactor that runs on its own thread. */
class Loop
{
public:
    Loop()
        : thread_([this] { reactor_.run(); })
    {}

    ~Loop()
    {
        reactor_.stop();
        thread_.join();
    }

    /** Runs the function on the loop's thread and waits for it. */
    template<typename Function>
    void run(Function function)
    {
        std::promise<void> done;
        reactor_.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    net::Reactor reactor_;

private:
    std::thread thread_;
};

/** Address with a port that is free at the time of the call. */
inline model::Address freeAddress(Loop &loop)
{
    model::Address address{"127.0.0.1", 0};
    loop.run([&] {
        const auto server = net::HttpServer::start(loop.reactor_, {.listen_ = address},
                                                   [](net::ExchangeId, net::HttpRequest) {});
        address.port_ = (*server)->port();
    });
    return address;
}

/** Backend server with a behaviour supplied by the test; counts requests and disconnects. */
class FakeBackend
{
public:
    /** Handles a request, now or later; called on the thread of the backend server's loop. */
    using Behaviour = std::function<void(net::HttpServer &, net::ExchangeId, net::HttpRequest)>;

    FakeBackend(Loop &loop, Behaviour behaviour)
        : loop_(loop)
    {
        loop_.run([this, behaviour] {
            server_ = std::move(*net::HttpServer::start(
                    loop_.reactor_, {.listen_ = {"127.0.0.1", 0}},
                    [this, behaviour](net::ExchangeId id, net::HttpRequest request) {
                        ++runs_;
                        behaviour(*server_, id, std::move(request));
                    },
                    [this](net::ExchangeId) { ++disconnects_; }));
            port_ = server_->port();
        });
    }

    ~FakeBackend()
    {
        loop_.run([this] { server_.reset(); });
    }

    /** Closes all connections and the port. */
    void crash()
    {
        loop_.run([this] { server_.reset(); });
    }

    std::uint16_t port() const { return port_; }
    int runs() const { return runs_; }
    int disconnects() const { return disconnects_; }

private:
    Loop &loop_;
    std::unique_ptr<net::HttpServer> server_;
    std::uint16_t port_ = 0;
    std::atomic<int> runs_ = 0;
    std::atomic<int> disconnects_ = 0;
};

/** One data task with its ports. */
class Dock
{
public:
    Dock(Loop &loop, const std::string &id, std::uint64_t generation = 1,
         const CallInterface &interface = {}, bool evenLoad = false)
    {
        settings_.evenLoad_ = evenLoad;
        if (interface.hasRoutes())
            settings_.platform_.emplace().service_ = "home";
        settings_.id_ = id;
        settings_.dataCentre_ = "a";
        settings_.region_ = "r";
        // Another process may take a free port before it is bound here.
        do {
            settings_.dataAddress_ = freeAddress(loop);
            settings_.peerAddress_ = freeAddress(loop);
            task_ = std::make_unique<DataTask>(
                    settings_, once::Incarnation{id, generation},
                    [this](const ControlTaskMessage &message) { handle(message); }, interface);
            started_ = task_->start();
        } while (!started_);
        member_ = {.id_ = id,
                   .generation_ = generation,
                   .region_ = "r",
                   .dataCentre_ = "a",
                   .peerAddress_ = settings_.peerAddress_};
    }

    /** Ends the task's thread before the members that it writes. */
    ~Dock() { task_.reset(); }
    Dock(const Dock &) = delete;
    Dock &operator=(const Dock &) = delete;

    /** This daemon as a member, with the given service and number of slots. */
    model::Member member(const std::string &service, std::uint32_t slots,
                         model::ServingState serving = model::ServingState::Ready) const
    {
        auto result = member_;
        result.service_ = service;
        result.slots_ = slots;
        result.serving_ = serving;
        return result;
    }

    bool hasDrained() const { return hasDrained_; }

    /** Status that the data task sent last; it sends one every second. */
    DataStatus lastStatus() const
    {
        const std::lock_guard lock(statusMutex_);
        return lastStatus_;
    }

    const model::Address &address() const { return settings_.dataAddress_; }

    settings::Settings settings_;
    std::unique_ptr<DataTask> task_;
    base::Result<void> started_;

private:
    void handle(const ControlTaskMessage &message)
    {
        if (std::holds_alternative<DrainEnded>(message))
            hasDrained_ = true;
        if (const auto *status = std::get_if<DataStatus>(&message)) {
            const std::lock_guard lock(statusMutex_);
            lastStatus_ = *status;
        }
    }

    model::Member member_;
    std::atomic<bool> hasDrained_ = false;
    mutable std::mutex statusMutex_;
    DataStatus lastStatus_;
};

/** Makes calls and waits for their answers. */
class Caller
{
public:
    explicit Caller(Loop &loop)
        : loop_(loop)
    {
        loop_.run([this] { client_ = std::make_unique<net::HttpClient>(loop_.reactor_); });
    }

    ~Caller()
    {
        loop_.run([this] { client_.reset(); });
    }

    std::future<net::CallResult> start(const model::Address &to, net::HttpRequest request,
                                       base::Millis timeout = base::Millis(20000))
    {
        auto done = std::make_shared<std::promise<net::CallResult>>();
        auto future = done->get_future();
        loop_.run([&] {
            client_->send(to, std::move(request), timeout,
                          [done](net::CallResult result) { done->set_value(std::move(result)); });
        });
        return future;
    }

    net::HttpResponse call(const model::Address &to, net::HttpRequest request)
    {
        auto result = start(to, std::move(request)).get();
        if (!result)
            return {.status_ = 0, .body_ = result.error().detail_};
        return std::move(*result);
    }

private:
    Loop &loop_;
    std::unique_ptr<net::HttpClient> client_;
};

/** Configuration with an idempotent and a non-idempotent class of the service "wallet". */
inline std::shared_ptr<const model::Config> walletConfig()
{
    auto config = std::make_shared<model::Config>();
    config->revision_ = 1;
    config->services_["wallet"] = {"wallet"};
    config->classes_["balance"] = {.name_ = "balance",
                                   .service_ = "wallet",
                                   .method_ = "GET",
                                   .pathPrefix_ = "/",
                                   .rank_ = 5,
                                   .deadline_ = base::Millis(10000)};
    config->classes_["redeem"] = {.name_ = "redeem",
                                  .service_ = "wallet",
                                  .method_ = "POST",
                                  .pathPrefix_ = "/",
                                  .rank_ = 0,
                                  .idempotent_ = false,
                                  .deadline_ = base::Millis(10000)};
    config->retryTolerances_["balance"] = {.requestClass_ = "balance", .budget_ = 2};
    return config;
}

} // namespace dock::testing
