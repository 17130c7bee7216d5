#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace bench {

/** Record of a log stream. */
struct LogRecord
{
    std::uint64_t offset_ = 0;
    base::Millis appendedAt_;
    std::string data_;

    bool operator==(const LogRecord &) const = default;
};

} // namespace bench
