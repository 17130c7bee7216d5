#pragma once

#include <cstddef>
#include <string>

#include <base/Millis.h>

namespace net {

class ByteBudget;

/** Limits of an HTTP client, and how it matches responses to requests. */
struct HttpClientOptions
{
    std::size_t maxBodyBytes_ = 16 * 1024 * 1024;

    /** Connections idle for longer are not reused, as the server may be closing them. */
    base::Millis maxIdle_ = base::Millis(20'000);

    /**
     * Name of a header field that responses echo from the request, used as request id. A response
     * with another value, or a success without the field, is attributed to another request, and its
     * connection is closed. A refusal or failure without the field is accepted only for the first
     * request on a connection, which is then closed; on a reused connection the call fails as Lost.
     * If empty, ids are not checked, but a connection is closed after a server error so that a
     * duplicate of that response is not taken for the response to another request.
     */
    std::string echoedField_;

    /** Limits the messages of all calls; must outlive the client. Null means no limit. */
    ByteBudget *budget_ = nullptr;
};

} // namespace net
