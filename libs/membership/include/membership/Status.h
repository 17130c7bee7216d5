#pragma once

#include <cstdint>

namespace membership {

/** State of a member; for the same incarnation, the status listed later wins. */
enum class Status : std::uint8_t {
    Alive,
    Suspect, ///< did not answer a probe; counts as live until its suspicion time-out
    Dead,    ///< did not refute the suspicion within the time-out
    Left,    ///< announced its own departure; final for its generation
};

} // namespace membership
