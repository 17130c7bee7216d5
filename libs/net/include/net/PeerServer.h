#pragma once

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
 * HTTP/2 server for the requests of other daemons, by nghttp2 on plain TCP.
 *
 * Header names arrive in lower case. All members are for the reactor's thread.
 */
class PeerServer
{
public:
    /** Starts to listen; fails with "listen-failed" when the address cannot be bound. */
    static base::Result<std::unique_ptr<PeerServer>> start(Reactor &reactor,
                                                           const HttpServerOptions &options,
                                                           HttpServer::RequestHandler onRequest,
                                                           HttpServer::CancelHandler onCancel);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Sends the whole answer; ignored when the stream is gone. */
    void respond(ExchangeId id, HttpResponse response);

    /** The port bound, also when port 0 was asked for. */
    std::uint16_t port() const;

private:
    struct Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace net
