#pragma once

#include <cstdint>

namespace membership {

/** What is believed of a member; of two beliefs on one incarnation the later listed one holds. */
enum class Status : std::uint8_t {
    Alive,
    Suspect, ///< did not answer a probe; counts as live until its time to refute is over
    Dead,    ///< did not refute the suspicion in time
    Left,    ///< said itself that it leaves; final for its generation
};

} // namespace membership
