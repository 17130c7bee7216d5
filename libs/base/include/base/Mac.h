#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace base {

/** Length of a message authentication code in bytes. */
inline constexpr std::size_t macBytes = 16;

/**
 * Computes and verifies message authentication codes with one secret: HMAC-SHA256 truncated to
 * 128 bits. Not thread-safe.
 */
class Mac
{
public:
    explicit Mac(std::string_view secret);
    ~Mac();
    Mac(Mac &&) noexcept;
    Mac &operator=(Mac &&) noexcept;

    /** Returns the code of the text as raw bytes. */
    std::string compute(std::string_view text) const;

    /** Verifies the code of the text; the run time does not depend on where the codes differ. */
    bool verify(std::string_view code, std::string_view text) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** 256 random bits from the operating system, for a secret that never leaves the process. */
std::string randomSecret();

} // namespace base
