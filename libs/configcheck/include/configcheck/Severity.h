#pragma once

#include <cstdint>

namespace configcheck {

/** How much a finding weighs. */
enum class Severity : std::uint8_t {
    Warning, ///< works, but perhaps not as meant
    Error,   ///< an entry cannot do what it says; the configuration should not be sent
};

} // namespace configcheck
