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

/** Identifies one request that awaits its response; not reused within a process. */
using ExchangeId = std::uint64_t;

/** Limits of an HTTP server. */
struct HttpServerOptions
{
    model::Address listen_;
    std::size_t maxBodyBytes_ = 16 * 1024 * 1024;
    std::uint32_t maxConnections_ = 4096;
    /** A connection is closed if its caller makes no progress in sending or reading for so long. */
    base::Millis idleTimeout_ = base::Millis(60000);

    /** Limits all messages; must outlive the server. Null means no limit. */
    ByteBudget *budget_ = nullptr;

    /** Response to a request that the budget refuses. */
    HttpResponse overBudgetResponse_ = {.status_ = 503, .headers_ = {{"Retry-After", "1"}}};
};

/**
 * HTTP/1.1 server of one reactor.
 *
 * At the connection limit, the connection that has been idle longest is closed for a new one.
 *
 * Call respond() exactly once for every accepted request, unless the cancel handler is called for
 * it first. Call all members on the reactor's thread.
 */
class HttpServer
{
public:
    using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;
    using CancelHandler = std::function<void(ExchangeId)>;

    /** Starts listening; fails with "listen-failed" if the address cannot be bound. */
    static base::Result<std::unique_ptr<HttpServer>> start(Reactor &reactor,
                                                           const HttpServerOptions &options,
                                                           RequestHandler onRequest,
                                                           CancelHandler onCancel = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Sends the complete response; ignored if the caller has disconnected. */
    void respond(ExchangeId id, HttpResponse response);

    /**
     * Closes each connection after its next response, so that callers use other instances. Where a
     * caller has sent further requests, they are served first.
     */
    void closeAfterResponses();

    /** Number of responses that are not written, or that the caller may not have received. */
    std::size_t undeliveredCount() const;

    /** The bound port, also if port 0 was requested. */
    std::uint16_t port() const;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace net
