#pragma once

#include <cstdint>

namespace net {

/** What ties an answer to the request that it was taken for. */
enum class MatchedBy : std::uint8_t {
    Id,            ///< it repeats the id of the request
    NewConnection, ///< it has no id, and its connection carried no other request
    Order,         ///< it has no id, and came next on a connection that was used before
};

} // namespace net
