#pragma once

#include <cstdint>
#include <string>

namespace net {

/** How a call failed. */
enum class FailureKind : std::uint8_t {
    NotSent,  ///< no byte of the request reached the server application
    Lost,     ///< sent, but the response was lost or truncated: the request may have run
    TimedOut, ///< sent, but no complete response in time: the request may have run
};

/** Why a call has no complete response. */
struct Failure
{
    FailureKind kind_ = FailureKind::Lost;
    std::string detail_; ///< one line, for logs

    bool operator==(const Failure &) const = default;
};

} // namespace net
