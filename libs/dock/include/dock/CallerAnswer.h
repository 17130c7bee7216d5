#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <net/HttpResponse.h>
#include <once/Outcome.h>

namespace dock {

struct CallInterface;

/** Format of the time in the Retry-After field. */
enum class RetryAfterFormat : std::uint8_t {
    WholeSeconds, ///< rounded up, at least one
    Decimals,     ///< seconds with three decimals
};

/** Format of the responses that the daemon creates itself. */
struct AnswerFormat
{
    RetryAfterFormat retryAfter_ = RetryAfterFormat::WholeSeconds;
    int lostAnswerStatus_ = 504; ///< status if the answer is lost before the deadline
    bool hasKeys_ = true;        ///< whether callers use issued idempotency keys

    bool operator==(const AnswerFormat &) const = default;
};

AnswerFormat answerFormatOf(const CallInterface &interface);

/** Response to a caller for an outcome; the field for nextKey is omitted if that is empty. */
net::HttpResponse callerAnswer(const once::Outcome &outcome, const AnswerFormat &format,
                               const std::string &nextKey = {});

/** Response to a caller for a request that was not run. */
net::HttpResponse refusal(int status, std::string_view reason, base::Millis retryAfter = {},
                          const std::string &nextKey = {},
                          RetryAfterFormat format = RetryAfterFormat::WholeSeconds);

/** The request needs an idempotency key (428, Precondition Required). */
inline constexpr int statusKeyNeeded = 428;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusNotFound = 404;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimedOut = 504;

} // namespace dock
