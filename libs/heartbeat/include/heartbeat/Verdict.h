#pragma once

#include <cstdint>
#include <string_view>

namespace heartbeat {

/** Result of validating a message of a backend server. */
enum class Verdict : std::uint8_t {
    Accepted,
    Stale,        ///< out of order or repeated, or from an earlier incarnation
    Deregistered, ///< from an incarnation that has deregistered
    Foreign,      ///< not from the backend server beside this daemon
};

/** Name of a verdict in logs; stable. */
std::string_view verdictText(Verdict verdict);

} // namespace heartbeat
