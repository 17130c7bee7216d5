#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace bench {

/**
 * Header fields by which the load generator matches an answer to its request.
 *
 * All attempts of one logical request carry the same request id.
 */
namespace echo {

inline constexpr std::string_view requestId = "Bench-Request-Id";
inline constexpr std::string_view requestHash = "Bench-Request-Hash";
inline constexpr std::string_view answerBytes = "Bench-Answer-Bytes";
inline constexpr std::string_view serviceTimes =
        "Bench-Work"; ///< service times, see serviceTimesText()
inline constexpr std::string_view atMostOnce =
        "Bench-Once"; ///< if present, the request must run at most once

} // namespace echo

/** Body of the given length, derived from the request id. */
std::string echoBody(std::string_view id, std::size_t bytes);

/** Hexadecimal hash of a body. */
std::string bodyHash(std::string_view body);

/** Answer of a simulated backend server to a request. */
net::HttpResponse echoAnswer(const net::HttpRequest &request);

/** Whether the answer is complete and matches the request. */
bool isEchoOf(const net::HttpRequest &request, const net::HttpResponse &response);

} // namespace bench
