#include "Text.h"

#include <array>
#include <charconv>
#include <cmath>

namespace configcheck {

std::string shortText(const model::KeyDigest &key)
{
    constexpr std::size_t digitsShown = 12;
    return key.text().substr(0, digitsShown) + "...";
}

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string numberText(double value)
{
    constexpr double maxFixed = 1e15;
    constexpr std::size_t maxBytes = 64;
    const auto format =
            std::abs(value) < maxFixed ? std::chars_format::fixed : std::chars_format::scientific;
    std::array<char, maxBytes> text{};
    // Small fractions don't fit in fixed notation.
    auto result = std::to_chars(text.begin(), text.end(), value, format);
    if (result.ec != std::errc())
        result = std::to_chars(text.begin(), text.end(), value, std::chars_format::scientific);
    return {text.begin(), result.ptr};
}

std::string millisText(base::Millis value)
{
    return numberText(value.fractional()) + " ms";
}

std::string percentText(double fraction)
{
    constexpr double percent = 100;
    return numberText(std::floor(fraction * percent)) + " %";
}

} // namespace configcheck
