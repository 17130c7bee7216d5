#pragma once

#include <cstdint>
#include <string>

namespace logclient {

/** One record of a keyed topic. */
struct KeyedRecord
{
    std::string key_;
    std::string value_; ///< empty: the key is deleted
    std::uint64_t offset_ = 0;

    bool operator==(const KeyedRecord &) const = default;
};

} // namespace logclient
