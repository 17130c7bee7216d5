#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <BackendFaults.h>
#include <BackendOptions.h>
#include <DaemonLink.h>
#include <RunLedger.h>
#include <base/Error.h>
#include <base/Random.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

namespace bench {

/**
 * Stand-in of one backend server instance.
 *
 * A request first makes its calls to other services, one after the other, then works for its
 * service time. It holds a slot all the while. Work is a timer: there is no thread per request.
 * For the reactor's thread.
 */
class BackendServer
{
public:
    static base::Result<std::unique_ptr<BackendServer>> start(net::Reactor &reactor,
                                                              BackendOptions options);

    /** Leaves the daemon, finishes what runs or waits, then stops the reactor. */
    void drain();

private:
    struct Work
    {
        net::HttpRequest request_;
        base::Millis deadlineAt_;
        std::uint64_t number_ = 0; ///< counts the requests received
        std::size_t nextCall_ = 0;
        net::CallId call_ = 0;
        net::TimerId timer_ = 0;
        bool hasEffect_ = false; ///< a call that must run once has completed
    };

    struct Counters
    {
        std::uint64_t received_ = 0;
        std::uint64_t runs_ = 0;
        std::uint64_t shed_ = 0;
        std::uint64_t late_ = 0;
        std::uint64_t aborted_ = 0;
        base::Millis lastWorkAfterLeave_; ///< since the leave; of the latest request received
    };

    BackendServer(net::Reactor &reactor, BackendOptions options);

    void handle(net::ExchangeId id, net::HttpRequest request);
    void handleControl(net::ExchangeId id, const net::HttpRequest &request);
    void accept(net::ExchangeId id, net::HttpRequest request);
    void begin(net::ExchangeId id, Work work);
    void callNext(net::ExchangeId id);
    void sendCall(net::ExchangeId id, const CallSpec &call);
    std::string callKey(const Work &work) const;
    void onCallDone(net::ExchangeId id, const CallSpec &call, const net::HttpRequest &sent,
                    const net::CallResult &result);
    void work(net::ExchangeId id);
    void finish(net::ExchangeId id, net::HttpResponse response);
    void release(net::ExchangeId id);
    void hangUp(net::ExchangeId id);
    void stopWhenIdle();
    base::Millis workTime(const Work &work);
    BackendStatus status() const;
    net::HttpResponse changeFaults(const std::string &body);
    net::HttpResponse stats() const;

    net::Reactor &reactor_;
    BackendOptions options_;
    base::Random random_;
    base::Millis startedAt_;
    base::Millis leftAt_ = base::Millis::max();
    BackendFaults faults_;
    Counters counters_;
    RunLedger ledger_;
    std::unordered_map<net::ExchangeId, Work> running_;
    std::deque<std::pair<net::ExchangeId, Work>> waiting_;
    net::HttpClient client_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<DaemonLink> link_;
};

} // namespace bench
