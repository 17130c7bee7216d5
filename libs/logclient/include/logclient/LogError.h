#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace logclient {

/** The log cannot be reached or refused the request: nothing took effect. */
struct Unavailable
{
    std::string detail_;

    bool operator==(const Unavailable &) const = default;
};

/** No answer came: an append may have taken effect. */
struct NoAnswer
{
    std::string detail_;

    bool operator==(const NoAnswer &) const = default;
};

/** The records asked for are not kept any more. */
struct Trimmed
{
    std::uint64_t first_ = 0; ///< oldest offset still there
    std::uint64_t next_ = 0;  ///< offset of the next append

    bool operator==(const Trimmed &) const = default;
};

/** How a request to the log failed. */
using LogError = std::variant<Unavailable, NoAnswer, Trimmed>;

/** One line for logs. */
std::string text(const LogError &error);

} // namespace logclient
