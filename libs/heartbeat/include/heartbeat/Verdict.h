#pragma once

#include <cstdint>
#include <string_view>

namespace heartbeat {

/** What becomes of a message of a backend server. */
enum class Verdict : std::uint8_t {
    Accepted,
    Late,    ///< an earlier message of the same incarnation, or one of an earlier incarnation
    Left,    ///< of an incarnation that has deregistered
    Foreign, ///< not of the backend server beside this daemon
};

/** Stable text for logs. */
std::string_view verdictText(Verdict verdict);

} // namespace heartbeat
