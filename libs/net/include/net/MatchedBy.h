#pragma once

#include <cstdint>

namespace net {

/** How a response was matched to its request. */
enum class MatchedBy : std::uint8_t {
    Id,            ///< the response echoes the id of the request
    NewConnection, ///< no id; the first request on its connection
    Order,         ///< no id; the next response on a reused connection
};

} // namespace net
