#include "Token.h"

#include <cstddef>

namespace admin {

namespace {

bool equalsInConstantTime(std::string_view actual, std::string_view expected)
{
    std::size_t difference = actual.size() ^ expected.size();
    for (std::size_t i = 0; i < actual.size(); ++i) {
        const auto a = static_cast<unsigned char>(actual[i]);
        const auto b = static_cast<unsigned char>(expected[i % expected.size()]);
        difference |= static_cast<std::size_t>(a ^ b);
    }
    return difference == 0;
}

} // namespace

bool isAuthorized(const net::Headers &headers, std::string_view token)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = net::headerValue(headers, "Authorization");
    return !token.empty() && value.starts_with(scheme)
           && equalsInConstantTime(value.substr(scheme.size()), token);
}

} // namespace admin
