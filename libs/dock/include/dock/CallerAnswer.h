#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <net/HttpResponse.h>
#include <once/Outcome.h>

namespace dock {

/** How the field Retry-After states a time. */
enum class RetryAfterForm : std::uint8_t {
    WholeSeconds, ///< rounded up, and at least one
    Decimals,     ///< seconds with three decimals
};

/** The answer that a caller gets for an outcome; nextKey is left out when empty. */
net::HttpResponse callerAnswer(const once::Outcome &outcome, RetryAfterForm form,
                               const std::string &nextKey = {});

/** A refusal that no backend server had a part in. */
net::HttpResponse refusal(int status, std::string_view reason, base::Millis retryAfter = {},
                          const std::string &nextKey = {},
                          RetryAfterForm form = RetryAfterForm::WholeSeconds);

/** Status of a request that needs a key. */
inline constexpr int statusKeyNeeded = 428;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusNotFound = 404;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusUnknown = 504;

} // namespace dock
