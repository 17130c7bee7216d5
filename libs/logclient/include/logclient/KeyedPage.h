#pragma once

#include <cstdint>
#include <vector>

#include <logclient/KeyedRecord.h>
#include <logclient/LogError.h>
#include <tl/expected.hpp>

namespace logclient {

/** Records of a keyed topic, with the offset at which reading goes on. */
struct KeyedPage
{
    std::vector<KeyedRecord> records_;
    bool hasMore_ = false; ///< only of newest(): further keys follow the last one here
    std::uint64_t next_ =
            0; ///< of newest(): end of the topic; of readFrom(): after the last record

    bool operator==(const KeyedPage &) const = default;
};

using KeyedResult = tl::expected<KeyedPage, LogError>;

} // namespace logclient
