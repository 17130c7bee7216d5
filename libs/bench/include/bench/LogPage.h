#pragma once

#include <cstdint>
#include <vector>

#include <bench/LogRecord.h>

namespace bench {

/** Answer to one read of a stream. */
struct LogPage
{
    std::vector<LogRecord> records_;
    std::uint64_t first_ = 0; ///< lowest offset still kept
    std::uint64_t next_ = 0;  ///< offset of the next append
    bool trimmed_ = false;    ///< the offset asked for is not kept any more

    bool operator==(const LogPage &) const = default;
};

} // namespace bench
