#pragma once

#include <cstddef>
#include <memory>

#include <base/Millis.h>
#include <model/Address.h>
#include <net/CallResult.h>
#include <net/HttpClient.h>
#include <net/HttpRequest.h>

namespace net {

class ByteBudget;
class Reactor;

/**
 * HTTP/2 client for requests to other daemons, based on nghttp2: one connection for each address,
 * with one stream for each call.
 *
 * Header names must be in lower case. Call all members on the reactor's thread.
 */
class PeerClient
{
public:
    /** The budget limits all messages and must outlive the client; null means no limit. */
    explicit PeerClient(Reactor &reactor, std::size_t maxBodyBytes = 16 * 1024 * 1024,
                        ByteBudget *budget = nullptr);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** Starts a call; done is called once, unless the call is cancelled. */
    CallId send(const model::Address &to, HttpRequest request, base::Millis timeout, CallDone done);

    /** Cancels a call by resetting its stream; done is not called. */
    void cancel(CallId id);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
