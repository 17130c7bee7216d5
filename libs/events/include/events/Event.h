#pragma once

#include <compare>
#include <cstdint>

namespace events {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/** A numbered type of log line; docs/EVENTS.md documents each. */
struct Event
{
    int number_;
    Severity severity_;
    const char *name_; ///< lower-case words joined by '-'

    auto operator<=>(const Event &) const = default;
};

} // namespace events
