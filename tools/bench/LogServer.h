#pragma once

#include <memory>
#include <string>

#include <base/Error.h>
#include <bench/LogStore.h>
#include <bench/RateLimiter.h>
#include <model/Address.h>
#include <net/HttpServer.h>

namespace bench {

/** Settings of the stand-in log. */
struct LogOptions
{
    model::Address listen_;
    LogRetention retention_;
    double maxAppendsPerSecond_ = 400.0;
};

/** Misbehaviour of the log that a test has asked for. */
struct LogFaults
{
    bool down_ = false;   ///< every request is answered 503
    bool silent_ = false; ///< no request is answered or takes effect
    base::Millis delay_ = base::Millis(0);
    std::uint64_t loseAppendAnswers_ = 0; ///< so many appends take effect and stay unanswered
};

/** Stand-in of the platform's append-only log, over HTTP. For the reactor's thread. */
class LogServer
{
public:
    static base::Result<std::unique_ptr<LogServer>> start(net::Reactor &reactor,
                                                          const LogOptions &options);

private:
    explicit LogServer(net::Reactor &reactor, const LogOptions &options);

    void handle(net::ExchangeId id, const net::HttpRequest &request);
    void handleStream(net::ExchangeId id, const net::HttpRequest &request);
    void answerLater(net::ExchangeId id, net::HttpResponse response);
    void append(net::ExchangeId id, const std::string &stream, const std::string &data);
    net::HttpResponse read(const std::string &stream, const std::string &target);
    net::HttpResponse changeFaults(const std::string &body);
    net::HttpResponse stats() const;
    void expireRegularly();

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
