#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <base/Millis.h>
#include <logclient/LogError.h>

namespace logclient {

/**
 * An append that takes effect only if the partition ends at an offset. A repetition of one of the
 * last appends of the same producer, epoch and sequence has no further effect and gets the result
 * of the first.
 */
struct ConditionalAppend
{
    std::string topic_;
    std::uint32_t partition_ = 0;
    std::uint64_t expectedEnd_ = 0; ///< offset that the new record gets
    std::string key_;               ///< of the record; an ordinary topic keeps all records of a key
    std::string value_;
    std::string producer_; ///< unique name of the sender in this partition
    std::uint64_t sequence_ = 0;
    base::Millis timeout_ = base::Millis(500);

    bool operator==(const ConditionalAppend &) const = default;
};

/** The record was appended. */
struct Appended
{
    std::uint64_t end_ = 0; ///< offset just after the new record

    bool operator==(const Appended &) const = default;
};

/** The partition ends at another offset, so nothing was appended. */
struct EndMoved
{
    std::uint64_t end_ = 0; ///< offset of the next append

    bool operator==(const EndMoved &) const = default;
};

/** Result of a conditional append; after NoAnswer it may have taken effect or may do so later. */
using ConditionalResult = std::variant<Appended, EndMoved, LogError>;

} // namespace logclient
