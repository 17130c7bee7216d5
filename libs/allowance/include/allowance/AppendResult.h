#pragma once

#include <cstdint>
#include <variant>

namespace allowance {

/** The record was appended, by this or an earlier repetition of the append. */
struct Appended
{
    std::uint64_t end_ = 0; ///< offset just after the record

    bool operator==(const Appended &) const = default;
};

/** The partition ends at another offset. */
struct EndMoved
{
    std::uint64_t end_ = 0;

    bool operator==(const EndMoved &) const = default;
};

/** The append may have taken effect, or may do so later. */
struct NoAnswer
{
    bool operator==(const NoAnswer &) const = default;
};

using AppendResult = std::variant<Appended, EndMoved, NoAnswer>;

} // namespace allowance
