#include "details/BackendExchange.h"

#include <dock/AttemptCodec.h>
#include <dock/CallInterface.h>
#include <dock/HeaderNames.h>

namespace dock::details {

namespace {

constexpr int statusMisdirected = 421;
constexpr int firstSuccess = 200;
constexpr int lastSuccess = 299;

/** Whether only daemons set the field, in messages to callers or other daemons. */
bool isDaemonField(std::string_view name)
{
    return net::equalsIgnoringCase(name.substr(0, header::peerPrefix.size()), header::peerPrefix)
           || net::equalsIgnoringCase(name, header::outcome)
           || net::equalsIgnoringCase(name, header::reason)
           || net::equalsIgnoringCase(name, header::nextKey);
}

bool isSuccess(const net::HttpResponse &answer)
{
    return answer.status_ >= firstSuccess && answer.status_ <= lastSuccess;
}

/** Whether the answer reports that the backend server has not run the request. */
bool reportsNotRun(const net::Headers &headers, const CallInterface &interface)
{
    if (!interface.notExecutedField_.empty())
        return !net::headerValue(headers, interface.notExecutedField_).empty();
    // A refusal with a reason is from a daemon, for a call that the backend server made.
    return net::headerValue(headers, header::outcome) == "not-run"
           && net::headerValue(headers, header::reason).empty();
}

once::AnswerPtr answerOf(net::HttpResponse response)
{
    auto answer = std::make_shared<once::Answer>();
    answer->status_ = response.status_;
    for (auto &[name, value] : response.headers_) {
        if (!isHopByHop(name) && !isDaemonField(name))
            answer->headers_.emplace_back(std::move(name), std::move(value));
    }
    answer->body_ = std::move(response.body_);
    return answer;
}

BackendResult resultOfFailure(const net::Failure &failure)
{
    switch (failure.kind_) {
    case net::FailureKind::NotSent:
        return {once::NotRun{once::Reason::BackendUnavailable, {}}, admission::Outcome::Failed};
    case net::FailureKind::TimedOut:
        return {once::Unknown{once::Reason::StillRunning}, admission::Outcome::Cancelled};
    case net::FailureKind::Lost:
        break;
    }
    return {once::Unknown{once::Reason::AnswerLost}, admission::Outcome::Failed};
}

} // namespace

net::HttpRequest backendRequest(net::HttpRequest request, base::Millis timeLeft,
                                const std::string &contextToken, const std::string &instanceId,
                                const CallInterface &interface)
{
    const auto isReplaced = [&interface](std::string_view name) {
        for (const auto *replaced : {&interface.deadlineMsField_, &interface.contextField_,
                                     &interface.expectedInstanceField_}) {
            if (!replaced->empty() && net::equalsIgnoringCase(name, *replaced))
                return true;
        }
        return false;
    };
    std::erase_if(request.headers_, [&](const net::Header &field) {
        const bool isHost = net::equalsIgnoringCase(field.name_, "host");
        return (isHost ? !interface.hasRoutes() : isHopByHop(field.name_))
               || isReplaced(field.name_);
    });
    const auto addField = [&request](const std::string &name, std::string value) {
        if (!name.empty() && !value.empty())
            request.headers_.push_back({name, std::move(value)});
    };
    addField(interface.deadlineMsField_, std::to_string(timeLeft.count()));
    addField(interface.contextField_, contextToken);
    addField(interface.expectedInstanceField_, instanceId);
    return request;
}

std::optional<double> reportedSlowness(const net::Headers &headers, const CallInterface &interface)
{
    constexpr int slownessPosition = 3;
    constexpr double usual = 100.0;
    if (interface.loadField_.empty())
        return std::nullopt;
    auto text = net::headerValue(headers, interface.loadField_);
    for (int i = 0; i < slownessPosition; ++i) {
        const auto comma = text.find(',');
        if (comma == std::string_view::npos)
            return std::nullopt;
        text.remove_prefix(comma + 1);
    }
    text = text.substr(0, text.find(','));
    const auto value = numberOr(text, 0);
    return value > 0 ? std::optional(static_cast<double>(value) / usual) : std::nullopt;
}

BackendResult backendResultOf(net::CallResult result, const CallInterface &interface)
{
    if (!result)
        return resultOfFailure(result.error());
    const bool isRefused = reportsNotRun(result->headers_, interface);
    if (isRefused && !isSuccess(*result))
        return {once::NotRun{once::Reason::BackendRefused, {}}, admission::Outcome::Shed};
    if (!interface.expectedInstanceField_.empty() && result->status_ == statusMisdirected)
        return {once::NotRun{once::Reason::BackendUnavailable, {}}, admission::Outcome::Failed};
    const bool lacksSignature =
            !interface.signatureField_.empty()
            && net::headerValue(result->headers_, interface.signatureField_).empty();
    const bool isEncoded = !interface.acceptsContentCoding_
                           && net::hasHeader(result->headers_, "content-encoding");
    // A success without signature or with a coding that nobody requested is not from the backend
    // server, and one that is also marked as not run is contradictory: the request may have run.
    if (isSuccess(*result) && (lacksSignature || isEncoded || isRefused))
        return {once::Unknown{once::Reason::AnswerLost}, admission::Outcome::Failed};
    return {once::Complete{answerOf(std::move(*result))}, admission::Outcome::Ok};
}

} // namespace dock::details
