#include <model/KeyDigest.h>

#include <charconv>

#include <openssl/sha.h>

namespace model {

namespace {

constexpr std::size_t digitsPerByte = 2;
constexpr int hexadecimal = 16;

} // namespace

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes_.data());
    return digest;
}

std::optional<KeyDigest> KeyDigest::parse(std::string_view hex)
{
    if (hex.size() != size * digitsPerByte)
        return std::nullopt;
    KeyDigest digest;
    for (auto &byte : digest.bytes_) {
        const auto *end = hex.data() + digitsPerByte;
        const auto parsed = std::from_chars(hex.data(), end, byte, hexadecimal);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        hex.remove_prefix(digitsPerByte);
    }
    return digest;
}

std::string KeyDigest::text() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : bytes_) {
        text.push_back(digits[byte / hexadecimal]);
        text.push_back(digits[byte % hexadecimal]);
    }
    return text;
}

} // namespace model
