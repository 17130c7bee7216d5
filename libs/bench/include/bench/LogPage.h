#pragma once

#include <cstdint>
#include <vector>

#include <bench/LogRecord.h>

namespace bench {

/** Result of one read of a stream. */
struct LogPage
{
    std::vector<LogRecord> records_;
    std::uint64_t firstOffset_ = 0; ///< lowest offset that is retained
    std::uint64_t nextOffset_ = 0;  ///< offset of the next append
    bool trimmed_ = false;          ///< the requested offset is no longer retained

    bool operator==(const LogPage &) const = default;
};

} // namespace bench
