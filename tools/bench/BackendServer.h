#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <BackendFaults.h>
#include <BackendOptions.h>
#include <BackendRegistration.h>
#include <RunCounter.h>
#include <base/Error.h>
#include <base/Random.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

namespace bench {

/**
 * Simulated backend server instance.
 *
 * A request first makes its calls to other services sequentially, then takes its service time. It
 * occupies a slot throughout. The service time is a timer, so that no thread per request is needed.
 * Use on the reactor's thread only.
 */
class BackendServer
{
public:
    static base::Result<std::unique_ptr<BackendServer>> start(net::Reactor &reactor,
                                                              BackendOptions options);

    /** Deregisters from the daemon, completes running and queued requests, then stops the reactor.
     */
    void drain();

private:
    struct Work
    {
        net::HttpRequest request_;
        base::Millis deadlineAt_;
        std::uint64_t number_ = 0; ///< sequence number of the received request
        std::size_t nextCall_ = 0;
        net::CallId call_ = 0;
        net::TimerId timer_ = 0;
        bool hasEffect_ = false; ///< an at-most-once call completed or the service time began
    };

    struct Counters
    {
        std::uint64_t received_ = 0;
        std::uint64_t runs_ = 0;
        std::uint64_t shed_ = 0;
        std::uint64_t late_ = 0;
        std::uint64_t aborted_ = 0;
        /** Time from deregistration to the last request received. */
        base::Millis lastRequestAfterDeregistration_;
    };

    BackendServer(net::Reactor &reactor, BackendOptions options);

    void handle(net::ExchangeId id, net::HttpRequest request);
    void handleControl(net::ExchangeId id, const net::HttpRequest &request);
    void accept(net::ExchangeId id, net::HttpRequest request);
    void startProcessing(net::ExchangeId id, Work work);
    void sendNextCall(net::ExchangeId id);
    void sendCall(net::ExchangeId id, const CallSpec &call);
    std::string callKey(const Work &work) const;
    void onCallDone(net::ExchangeId id, const CallSpec &call, const net::HttpRequest &sent,
                    const net::CallResult &result);
    void startServiceTime(net::ExchangeId id);
    void finish(net::ExchangeId id, net::HttpResponse response);
    void release(net::ExchangeId id);
    void onCallerDisconnected(net::ExchangeId id);
    void stopWhenIdle();
    base::Millis scaledServiceTime(const Work &work);
    BackendStatus status() const;
    net::HttpResponse changeFaults(const std::string &body);
    net::HttpResponse stats() const;

    net::Reactor &reactor_;
    BackendOptions options_;
    base::Random random_;
    base::Millis startedAt_;
    base::Millis deregisteredAt_ = base::Millis::max();
    BackendFaults faults_;
    Counters counters_;
    RunCounter runCounter_;
    std::unordered_map<net::ExchangeId, Work> running_;
    std::deque<std::pair<net::ExchangeId, Work>> waiting_;
    net::HttpClient client_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<BackendRegistration> registration_;
};

} // namespace bench
