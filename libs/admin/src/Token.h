#pragma once

#include <string_view>

#include <net/Header.h>

namespace admin {

/**
 * Whether the request carries the token. Takes the same time wherever the two differ, so that the
 * token cannot be found byte by byte.
 */
bool isAuthorized(const net::Headers &headers, std::string_view token);

} // namespace admin
