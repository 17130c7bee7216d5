#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace base {

/** Length of a message authentication code in bytes. */
inline constexpr std::size_t macBytes = 16;

/**
 * Makes and checks message authentication codes with one secret: the first 128 bits of
 * HMAC-SHA256. Not thread-safe.
 */
class Mac
{
public:
    explicit Mac(std::string_view secret);
    ~Mac();
    Mac(Mac &&) noexcept;
    Mac &operator=(Mac &&) noexcept;

    /** Code of the text, as bytes. */
    std::string of(std::string_view text) const;

    /** Whether it is the text's code; takes a time that does not depend on the difference. */
    bool isOf(std::string_view code, std::string_view text) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** 256 random bits from the operating system, for a secret that never leaves the process. */
std::string randomSecret();

} // namespace base
