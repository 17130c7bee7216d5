#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <base/Error.h>
#include <model/Address.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>
#include <net/HttpServer.h>

namespace net {

class Reactor;

/**
 * HTTP/2 server for the requests of other daemons, based on nghttp2, over plain TCP.
 *
 * Header names are in lower case. Call all members on the reactor's thread.
 */
class PeerServer
{
public:
    /** Starts listening; fails with "listen-failed" if the address cannot be bound. */
    static base::Result<std::unique_ptr<PeerServer>> start(Reactor &reactor,
                                                           const HttpServerOptions &options,
                                                           HttpServer::RequestHandler onRequest,
                                                           HttpServer::CancelHandler onCancel);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Sends the complete response; ignored if the stream is closed. */
    void respond(ExchangeId id, HttpResponse response);

    /** Number of connections whose output is not yet completely written. */
    std::size_t unsentCount() const;

    /** The bound port, also if port 0 was requested. */
    std::uint16_t port() const;

private:
    struct Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace net
