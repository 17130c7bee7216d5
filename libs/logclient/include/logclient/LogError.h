#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace logclient {

/** The log is unreachable or rejected the request: the request had no effect. */
struct Unavailable
{
    std::string detail_;

    bool operator==(const Unavailable &) const = default;
};

/** No valid response arrived: an append may have taken effect. */
struct NoAnswer
{
    std::string detail_;

    bool operator==(const NoAnswer &) const = default;
};

/** The requested records are no longer retained. */
struct Trimmed
{
    std::uint64_t first_ = 0; ///< oldest retained offset
    std::uint64_t next_ = 0;  ///< offset of the next append

    bool operator==(const Trimmed &) const = default;
};

/** Failure of a request to the log. */
using LogError = std::variant<Unavailable, NoAnswer, Trimmed>;

/** One line for logs. */
std::string text(const LogError &error);

} // namespace logclient
