#pragma once

#include <cstdint>
#include <vector>

#include <logclient/LogError.h>
#include <logclient/LogRecord.h>
#include <tl/expected.hpp>

namespace logclient {

/** Records in offset order, with the extent of the stream. */
struct LogPage
{
    std::vector<LogRecord> records_;
    std::uint64_t first_ = 0; ///< oldest retained offset
    std::uint64_t next_ = 0;  ///< offset of the next append

    bool operator==(const LogPage &) const = default;
};

using ReadResult = tl::expected<LogPage, LogError>;

/** The offset of the new record. */
using AppendResult = tl::expected<std::uint64_t, LogError>;

} // namespace logclient
