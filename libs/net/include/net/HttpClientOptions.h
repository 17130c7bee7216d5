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
     * Name of a field that every success has to repeat as the request states it, and other answers
     * if they have it. An answer that does not is taken for that to another request, and its
     * connection is closed. Empty: not checked.
     */
    std::string echoedField_;

    /** Pays for the messages of all calls and must outlive the client; none: without a bound. */
    ByteBudget *budget_ = nullptr;
};

} // namespace net
