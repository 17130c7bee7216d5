#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <base/Error.h>
#include <base/Millis.h>
#include <model/Address.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace net {

class ByteBudget;
class Reactor;

/** Names one request that waits for its answer; never reused within a process. */
using ExchangeId = std::uint64_t;

/** Limits of an HTTP server. */
struct HttpServerOptions
{
    model::Address listen_;
    std::size_t maxBodyBytes_ = 16 * 1024 * 1024;
    std::uint32_t maxConnections_ = 4096;
    base::Millis idleTimeout_ =
            base::Millis(60000); ///< without a step of a caller whose turn it is

    /** Pays for all messages and must outlive the server; none: without a bound. */
    ByteBudget *budget_ = nullptr;

    /** Answers a request for which the budget has no room. */
    HttpResponse withoutRoom_ = {.status_ = 503, .headers_ = {{"Retry-After", "1"}}};
};

/**
 * HTTP/1.1 server of one reactor.
 *
 * When the connections are used up, the one that was idle longest is closed for a new one.
 *
 * Every accepted request is answered by exactly one call of respond(), unless its caller hangs up
 * first. All members are for the reactor's thread.
 */
class HttpServer
{
public:
    using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;
    using CancelHandler = std::function<void(ExchangeId)>;

    /** Starts to listen; fails with "listen-failed" when the address cannot be bound. */
    static base::Result<std::unique_ptr<HttpServer>> start(Reactor &reactor,
                                                           const HttpServerOptions &options,
                                                           RequestHandler onRequest,
                                                           CancelHandler onCancel = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Sends the whole answer; ignored when the caller has hung up. */
    void respond(ExchangeId id, HttpResponse response);

    /** From now on every answer ends its connection, so that callers go elsewhere. */
    void closeAfterAnswers();

    /** The port bound, also when port 0 was asked for. */
    std::uint16_t port() const;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace net
