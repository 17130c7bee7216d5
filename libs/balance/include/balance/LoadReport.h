#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>

namespace balance {

/**
 * Load of one backend server as its own daemon counted it; one header field of an answer.
 *
 * The counts cover all requests that reach the server, as only that daemon sends to it.
 */
struct LoadReport
{
    std::uint32_t active_ = 0; ///< requests running and queued
    std::uint32_t limit_ = 1;  ///< requests that may run at once
    base::Millis holding_;     ///< mean time for which a request holds its slot; 0 if not measured

    /** Decimal numbers separated by single spaces; the time in hundreds of microseconds. */
    std::string toString() const;

    /** Inverse of toString(); none if the text is malformed or a number is out of range. */
    static std::optional<LoadReport> parse(std::string_view text);

    bool operator==(const LoadReport &) const = default;
};

} // namespace balance
