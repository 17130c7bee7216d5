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
 * HTTP/2 client towards other daemons, by nghttp2: one connection for each address, many streams.
 *
 * Header names must be in lower case. All members are for the reactor's thread.
 */
class PeerClient
{
public:
    /** The budget pays for all messages and must outlive the client; none: without a bound. */
    explicit PeerClient(Reactor &reactor, std::size_t maxBodyBytes = 16 * 1024 * 1024,
                        ByteBudget *budget = nullptr);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** Starts a call; done is called once, unless the call is cancelled. */
    CallId send(const model::Address &to, HttpRequest request, base::Millis timeout, CallDone done);

    /** Resets the stream of a call; done is not called any more. */
    void cancel(CallId id);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
