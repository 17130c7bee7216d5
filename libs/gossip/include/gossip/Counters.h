#pragma once

#include <cstdint>

namespace gossip {

/** Traffic counters of a GossipService since its start. */
struct Counters
{
    std::uint64_t datagramsSent_ = 0;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t datagramsReceived_ = 0;
    std::uint64_t bytesReceived_ = 0;
    std::uint64_t datagramsRefused_ = 0; ///< malformed or not authenticated
    std::uint64_t datagramsUnsent_ = 0;  ///< rejected by the operating system
    std::uint64_t statesServed_ = 0;
    std::uint64_t stateBytesServed_ = 0;
    std::uint64_t statesFetched_ = 0;
    std::uint64_t stateBytesFetched_ = 0;

    bool operator==(const Counters &) const = default;
};

} // namespace gossip
