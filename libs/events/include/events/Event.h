#pragma once

#include <compare>
#include <cstdint>

namespace events {

/** How serious an event is. */
enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/** A numbered kind of log line; docs/EVENTS.md has an entry for each. */
struct Event
{
    int number_;
    Severity severity_;
    const char *name_; ///< lower-case words joined by '-'

    auto operator<=>(const Event &) const = default;
};

} // namespace events
