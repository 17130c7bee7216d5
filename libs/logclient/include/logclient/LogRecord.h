#pragma once

#include <cstdint>
#include <string>

namespace logclient {

/** One record of a stream. */
struct LogRecord
{
    std::uint64_t offset_ = 0;
    std::string data_;

    bool operator==(const LogRecord &) const = default;
};

} // namespace logclient
