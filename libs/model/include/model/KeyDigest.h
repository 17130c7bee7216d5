#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace model {

/**
 * SHA-256 digest of an access key. Daemons keep and exchange digests only, so that no log, status
 * page or memory dump of a configuration reveals a key.
 */
class KeyDigest
{
public:
    static constexpr std::size_t size = 32;

    /** Digest of a key in plain text. */
    static KeyDigest of(std::string_view key);

    /** Parses 64 hexadecimal digits; nothing if the text is something else. */
    static std::optional<KeyDigest> parse(std::string_view hex);

    /** The digest as 64 lower-case hexadecimal digits; the inverse of parse(). */
    std::string text() const;

    auto operator<=>(const KeyDigest &) const = default;

private:
    std::array<std::uint8_t, size> bytes_ = {};
};

} // namespace model
