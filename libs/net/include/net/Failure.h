#pragma once

#include <cstdint>
#include <string>

namespace net {

/** How a call ended without a whole answer. */
enum class FailureKind : std::uint8_t {
    NotSent,  ///< no byte of the request reached the other side's application
    Lost,     ///< sent, but the answer was lost or cut: it may have run
    TimedOut, ///< sent, and no whole answer came in time: it may have run
};

/** Why a call has no whole answer. */
struct Failure
{
    FailureKind kind_ = FailureKind::Lost;
    std::string detail_; ///< one line for logs

    bool operator==(const Failure &) const = default;
};

} // namespace net
