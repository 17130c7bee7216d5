#include <details/TextCodec.h>

#include <array>
#include <cstdint>

namespace once::details {

namespace {

constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int bitsPerCharacter = 6;
constexpr int bitsPerByte = 8;

constexpr std::array<std::int8_t, 256> makeValues()
{
    std::array<std::int8_t, 256> values{};
    values.fill(-1);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        values[static_cast<unsigned char>(alphabet[i])] = static_cast<std::int8_t>(i);
    return values;
}

constexpr auto values = makeValues();

} // namespace

std::string toBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * bitsPerByte + bitsPerCharacter - 1) / bitsPerCharacter);
    std::uint32_t pending = 0;
    int pendingBits = 0;
    for (const unsigned char byte : bytes) {
        pending = (pending << bitsPerByte) | byte;
        pendingBits += bitsPerByte;
        while (pendingBits >= bitsPerCharacter) {
            pendingBits -= bitsPerCharacter;
            text += alphabet[(pending >> pendingBits) & 63];
        }
    }
    if (pendingBits > 0)
        text += alphabet[(pending << (bitsPerCharacter - pendingBits)) & 63];
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() * bitsPerCharacter / bitsPerByte);
    std::uint32_t pending = 0;
    int pendingBits = 0;
    for (const unsigned char character : text) {
        if (values[character] < 0)
            return std::nullopt;
        pending = (pending << bitsPerCharacter) | static_cast<std::uint32_t>(values[character]);
        pendingBits += bitsPerCharacter;
        if (pendingBits >= bitsPerByte) {
            pendingBits -= bitsPerByte;
            bytes += static_cast<char>((pending >> pendingBits) & 255);
        }
    }
    // Accepts only the canonical text of the bytes.
    if (toBase64Url(bytes) != text)
        return std::nullopt;
    return bytes;
}

} // namespace once::details
