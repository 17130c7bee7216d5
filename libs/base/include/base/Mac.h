#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace base {

/** Length of a message authentication code in bytes. */
inline constexpr std::size_t macBytes = 16;

/** First 128 bits of HMAC-SHA256 of the text, as bytes. */
std::string mac(std::string_view secret, std::string_view text);

/** Whether two byte strings are equal, in a time that does not depend on where they differ. */
bool equalsInConstantTime(std::string_view a, std::string_view b);

/** 256 random bits from the operating system, for a secret that never leaves the process. */
std::string randomSecret();

} // namespace base
