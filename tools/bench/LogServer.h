#pragma once

#include <memory>
#include <string>

#include <base/Error.h>
#include <bench/LogStore.h>
#include <bench/RateLimiter.h>
#include <model/Address.h>
#include <net/HttpServer.h>

namespace bench {

/** Settings of the simulated log. */
struct LogOptions
{
    model::Address listen_;
    LogRetention retention_;
    double maxAppendsPerSecond_ = 400.0;
};

/** Faults injected into the log by a test. */
struct LogFaults
{
    bool down_ = false;   ///< stream requests are answered 503
    bool silent_ = false; ///< stream requests are ignored and stay unanswered
    base::Millis delay_ = base::Millis(0);
    std::uint64_t loseAppendAnswers_ = 0; ///< next appends that take effect without an answer
};

/** Simulates the platform's append-only log over HTTP. Use on the reactor's thread only. */
class LogServer
{
public:
    static base::Result<std::unique_ptr<LogServer>> start(net::Reactor &reactor,
                                                          const LogOptions &options);

private:
    explicit LogServer(net::Reactor &reactor, const LogOptions &options);

    void handle(net::ExchangeId id, const net::HttpRequest &request);
    void handleStream(net::ExchangeId id, const net::HttpRequest &request);
    void respondAfterDelay(net::ExchangeId id, net::HttpResponse response);
    void append(net::ExchangeId id, const std::string &stream, const std::string &data);
    net::HttpResponse read(const std::string &stream, const std::string &target);
    net::HttpResponse changeFaults(const std::string &body);
    net::HttpResponse stats() const;
    void expirePeriodically();

    net::Reactor &reactor_;
    LogStore store_;
    RateLimiter limiter_;
    LogFaults faults_;
    std::uint64_t appends_ = 0;
    std::uint64_t refusedAppends_ = 0;
    std::uint64_t reads_ = 0;
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace bench
