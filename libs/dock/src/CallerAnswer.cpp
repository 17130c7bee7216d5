#include <dock/CallerAnswer.h>

#include <cstdio>

#include <base/Overloaded.h>
#include <dock/CallInterface.h>

namespace dock {

namespace {

constexpr std::int64_t millisPerSecond = 1000;

void addField(net::HttpResponse &response, const char *name, std::string value)
{
    response.headers_.push_back({name, std::move(value)});
}

net::HttpResponse complete(const once::Answer &answer)
{
    net::HttpResponse response{.status_ = answer.status_, .body_ = answer.body_};
    for (const auto &[name, value] : answer.headers_)
        addField(response, name.c_str(), value);
    addField(response, "Fuchsiadock-Outcome", "complete");
    return response;
}

net::HttpResponse unknown(once::Reason reason, const AnswerFormat &format)
{
    const std::string text(once::reasonText(reason));
    const bool isLost = reason == once::Reason::AnswerLost;
    net::HttpResponse response{.status_ = isLost ? format.lostAnswerStatus_ : statusTimedOut,
                               .body_ = "unknown: the request may have run (" + text + ")\n"};
    addField(response, "Fuchsiadock-Outcome", "unknown");
    addField(response, "Fuchsiadock-Reason", text);
    return response;
}

std::string retryAfterText(base::Millis time, RetryAfterFormat format)
{
    if (format == RetryAfterFormat::Decimals) {
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f",
                      static_cast<double>(time.count()) / millisPerSecond);
        return text;
    }
    const auto seconds = (time.count() + millisPerSecond - 1) / millisPerSecond;
    return std::to_string(std::max<std::int64_t>(1, seconds));
}

int statusOf(once::Reason reason, const AnswerFormat &format)
{
    switch (reason) {
    case once::Reason::BadKey:
    case once::Reason::KeyBurned:
    case once::Reason::KeyExpired:
    case once::Reason::KeyMismatch:
        return format.hasKeys_ ? statusKeyNeeded : statusUnavailable;
    case once::Reason::CustomerLimit:
    case once::Reason::AllowanceSpent:
        return statusTooManyRequests;
    case once::Reason::UnknownKey:
        return statusUnauthorized;
    default:
        return statusUnavailable;
    }
}

} // namespace

AnswerFormat answerFormatOf(const CallInterface &interface)
{
    return {.retryAfter_ = interface.hasFractionalRetryAfter_ ? RetryAfterFormat::Decimals
                                                              : RetryAfterFormat::WholeSeconds,
            .lostAnswerStatus_ = interface.lostAnswerStatus_,
            .hasKeys_ = !interface.hasRoutes()};
}

net::HttpResponse refusal(int status, std::string_view reason, base::Millis retryAfter,
                          const std::string &nextKey, RetryAfterFormat format)
{
    const std::string text(reason);
    net::HttpResponse response{.status_ = status, .body_ = "not run: " + text + "\n"};
    addField(response, "Fuchsiadock-Outcome", "not-run");
    addField(response, "Fuchsiadock-Reason", text);
    if (status == statusUnauthorized)
        addField(response, "WWW-Authenticate", "Bearer");
    else
        addField(response, "Retry-After", retryAfterText(retryAfter, format));
    if (!nextKey.empty())
        addField(response, "Fuchsiadock-Next-Key", nextKey);
    return response;
}

net::HttpResponse callerAnswer(const once::Outcome &outcome, const AnswerFormat &format,
                               const std::string &nextKey)
{
    auto response = std::visit(
            base::Overloaded{
                    [](const once::Complete &completed) { return complete(*completed.answer_); },
                    [&format](const once::NotRun &why) {
                        return refusal(statusOf(why.reason_, format), once::reasonText(why.reason_),
                                       why.retryAfter_, {}, format.retryAfter_);
                    },
                    [&format](const once::Unknown &why) { return unknown(why.reason_, format); },
            },
            outcome);
    if (!nextKey.empty())
        addField(response, "Fuchsiadock-Next-Key", nextKey);
    return response;
}

} // namespace dock
