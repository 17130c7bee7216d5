#pragma once

#include <cstdint>
#include <memory>

#include <base/Millis.h>
#include <model/Address.h>
#include <net/CallResult.h>
#include <net/HttpClientOptions.h>
#include <net/HttpRequest.h>

namespace net {

class Reactor;

/** Identifies one outgoing call; 0 is never used. */
using CallId = std::uint64_t;

/**
 * HTTP/1.1 client of one reactor with keep-alive connections.
 *
 * A truncated response, or one that belongs to another request, is reported as a Failure of kind
 * Lost, never as a response.
 * Call all members on the reactor's thread; callbacks never run inside send().
 */
class HttpClient
{
public:
    explicit HttpClient(Reactor &reactor, const HttpClientOptions &options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a call; done is called once, unless the call is cancelled. */
    CallId send(const model::Address &to, HttpRequest request, base::Millis timeout, CallDone done);

    /** Cancels a call and closes its connection; done is not called. */
    void cancel(CallId id);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
