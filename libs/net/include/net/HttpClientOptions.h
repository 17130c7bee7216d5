#pragma once

#include <cstddef>
#include <string>

#include <base/Millis.h>

namespace net {

class ByteBudget;

/** Limits of an HTTP client and what it expects of answers. */
struct HttpClientOptions
{
    std::size_t maxBodyBytes_ = 16 * 1024 * 1024;

    /** Idle connections older than this are not used again, as the other side may be closing them.
     */
    base::Millis maxIdle_ = base::Millis(20'000);

    /**
     * Name of a field that answers repeat as the request states it. One that has another value, or
     * none and is a success, is taken for that to another request, and its connection is closed. A
     * refusal or failure without the field counts as the answer only to the first request on its
     * connection, which is closed; later the call is lost. Empty: not checked, but a connection is
     * closed after a server error, so that a copy of it reaches no other request.
     */
    std::string echoedField_;

    /** Pays for the messages of all calls and must outlive the client; none: without a bound. */
    ByteBudget *budget_ = nullptr;
};

} // namespace net
