#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace net::details {

/** Empties a string and frees its memory, which assigning an empty string does not. */
inline void freeMemory(std::string &text)
{
    std::string().swap(text);
}

/** Appends to a body. Large bodies grow by 25%, as doubling could leave half the memory unused. */
inline void appendBody(std::string &body, std::string_view more)
{
    constexpr std::size_t largeBodyBytes = 64 * 1024;
    const auto size = body.size() + more.size();
    if (size > body.capacity() && body.capacity() >= largeBodyBytes)
        body.reserve(std::max(size, body.capacity() + body.capacity() / 4));
    body.append(more);
}

} // namespace net::details
