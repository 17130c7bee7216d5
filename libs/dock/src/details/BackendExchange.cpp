#include "details/BackendExchange.h"

#include <dock/AttemptCodec.h>
#include <dock/HeaderNames.h>

namespace dock::details {

namespace {

once::AnswerPtr answerOf(net::HttpResponse response)
{
    auto answer = std::make_shared<once::Answer>();
    answer->status_ = response.status_;
    for (auto &[name, value] : response.headers_) {
        if (!isHopByHop(name) && !net::equalsIgnoringCase(name, header::outcome))
            answer->headers_.emplace_back(std::move(name), std::move(value));
    }
    answer->body_ = std::move(response.body_);
    return answer;
}

BackendEnd endOfFailure(const net::Failure &failure)
{
    switch (failure.kind_) {
    case net::FailureKind::NotSent:
        return {once::NotRun{once::Reason::BackendUnavailable, {}}, admission::Outcome::Failed};
    case net::FailureKind::TimedOut:
        return {once::Unknown{once::Reason::AnswerLost}, admission::Outcome::Cancelled};
    case net::FailureKind::Lost:
        break;
    }
    return {once::Unknown{once::Reason::AnswerLost}, admission::Outcome::Failed};
}

} // namespace

net::HttpRequest backendRequest(net::HttpRequest request, base::Millis timeLeft,
                                const std::string &contextToken)
{
    std::erase_if(request.headers_, [](const net::Header &field) {
        return isHopByHop(field.name_) || net::equalsIgnoringCase(field.name_, header::deadlineMs)
               || net::equalsIgnoringCase(field.name_, header::context);
    });
    request.headers_.push_back({"Fuchsiadock-Deadline-Ms", std::to_string(timeLeft.count())});
    request.headers_.push_back({"Fuchsiadock-Context", contextToken});
    return request;
}

BackendEnd endOf(net::CallResult result)
{
    if (!result)
        return endOfFailure(result.error());
    if (net::headerValue(result->headers_, header::outcome) == "not-run")
        return {once::NotRun{once::Reason::BackendRefused, {}}, admission::Outcome::Shed};
    return {once::Complete{answerOf(std::move(*result))}, admission::Outcome::Ok};
}

} // namespace dock::details
