#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace bench {

/**
 * Header fields by which the load generator recognises the answer to its own request.
 *
 * The identity stays the same over all attempts of one logical request.
 */
namespace echo {

inline constexpr std::string_view requestId = "Bench-Request-Id";
inline constexpr std::string_view requestHash = "Bench-Request-Hash";
inline constexpr std::string_view answerBytes = "Bench-Answer-Bytes";
inline constexpr std::string_view work = "Bench-Work"; ///< service times; see workText()
inline constexpr std::string_view once = "Bench-Once"; ///< present: must run at most once

} // namespace echo

/** Body of the given length that depends on the identity. */
std::string echoBody(std::string_view id, std::size_t bytes);

/** Hash of a body in hexadecimal. */
std::string bodyHash(std::string_view body);

/** Answer of a stand-in backend server to a request. */
net::HttpResponse echoAnswer(const net::HttpRequest &request);

/** Whether the answer is whole and belongs to the request. */
bool isEchoOf(const net::HttpRequest &request, const net::HttpResponse &response);

} // namespace bench
