#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <base/Error.h>
#include <once/Incarnation.h>

namespace once {

/** Identifies one delegation of one key to one executor; never reused. */
struct SubKey
{
    Incarnation home_;
    std::uint64_t number_ = 0; ///< counts all delegations of the home
    Incarnation executor_;     ///< the only process that may run it

    /** Longest text that parse() accepts, in characters. */
    static constexpr std::size_t maxTextLength = 1024;

    /** Parses the text of a header; fails with "bad-sub-key". */
    static base::Result<SubKey> parse(std::string_view text);

    /** Text form, the inverse of parse(). */
    std::string text() const;

    bool operator==(const SubKey &) const = default;
};

} // namespace once
