#pragma once

#include <cstdint>
#include <vector>

#include <logclient/KeyedRecord.h>
#include <logclient/LogError.h>
#include <tl/expected.hpp>

namespace logclient {

/** Records of a keyed topic, with the offset from which to continue. */
struct KeyedPage
{
    std::vector<KeyedRecord> records_;
    bool hasMore_ = false; ///< of readNewest() only: further keys follow
    std::uint64_t next_ =
            0; ///< of readNewest(): end of the topic; of readFrom(): after the last record

    bool operator==(const KeyedPage &) const = default;
};

using KeyedResult = tl::expected<KeyedPage, LogError>;

} // namespace logclient
