#include "Token.h"

#include <cstddef>

namespace admin {

namespace {

bool equalsInConstantTime(std::string_view given, std::string_view expected)
{
    std::size_t difference = given.size() ^ expected.size();
    for (std::size_t i = 0; i < given.size(); ++i) {
        const auto a = static_cast<unsigned char>(given[i]);
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
