#pragma once

#include <string_view>

#include <net/Header.h>

namespace admin {

/**
 * Whether the request carries the token. The comparison takes the same time wherever the two
 * differ, so that the token cannot be guessed byte by byte.
 */
bool isAuthorized(const net::Headers &headers, std::string_view token);

} // namespace admin
