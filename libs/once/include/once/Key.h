#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <base/Error.h>
#include <base/Millis.h>
#include <once/Incarnation.h>

namespace once {

/** Identifies one logical request; issued by its home, which alone decides on it. */
struct Key
{
    Incarnation home_;
    std::uint64_t serial_ = 0;
    base::Millis expiry_; ///< on the home's own monotonic clock
    std::string customer_;
    std::string service_;
    std::string mac_; ///< proves to the home that it issued the key

    /** Longest text that parse() accepts, in characters. */
    static constexpr std::size_t maxTextLength = 1024;

    /** Parses the text of a header; fails with "bad-key". Does not verify the MAC. */
    static base::Result<Key> parse(std::string_view text);

    /** Text form, the inverse of parse(). */
    std::string text() const;

    /** The bytes covered by the MAC. */
    std::string signedBytes() const;

    bool operator==(const Key &) const = default;
};

} // namespace once
