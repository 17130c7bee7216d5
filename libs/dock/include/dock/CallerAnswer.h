#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <net/HttpResponse.h>
#include <once/Outcome.h>

namespace dock {

struct CallInterface;

/** How the field Retry-After states a time. */
enum class RetryAfterForm : std::uint8_t {
    WholeSeconds, ///< rounded up, and at least one
    Decimals,     ///< seconds with three decimals
};

/** How answers of the system's own are put. */
struct AnswerForm
{
    RetryAfterForm retryAfter_ = RetryAfterForm::WholeSeconds;
    int lostAnswerStatus_ = 504; ///< of a request whose answer was lost before its time was over
    bool hasKeys_ = true;        ///< whether callers name requests by keys that they were issued

    bool operator==(const AnswerForm &) const = default;
};

AnswerForm answerFormOf(const CallInterface &interface);

/** The answer that a caller gets for an outcome; nextKey is left out when empty. */
net::HttpResponse callerAnswer(const once::Outcome &outcome, const AnswerForm &form,
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
inline constexpr int statusTimedOut = 504;

} // namespace dock
