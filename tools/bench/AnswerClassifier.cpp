#include <AnswerClassifier.h>

#include <Protocol.h>
#include <bench/Echo.h>

namespace bench {

namespace {

constexpr int firstErrorStatus = 400;

} // namespace

RequestOutcome classifyAnswer(const net::HttpRequest &request, const net::CallResult &result,
                              const AnswerContext &context)
{
    if (!result) {
        const bool unsent = result.error().kind_ == net::FailureKind::NotSent;
        return unsent ? RequestOutcome::NotRun : RequestOutcome::Unknown;
    }
    auto outcome = net::headerValue(result->headers_, protocol::outcome);
    if (context.isFromBackend_ && outcome.empty()) {
        outcome = protocol::complete;
    }
    if (outcome == protocol::notRun) {
        return RequestOutcome::NotRun;
    }
    if (outcome == protocol::unknown) {
        return RequestOutcome::Unknown;
    }
    if (outcome == protocol::complete && result->status_ >= firstErrorStatus) {
        return RequestOutcome::Failed;
    }
    if (outcome != protocol::complete || !isEchoOf(request, *result)) {
        return RequestOutcome::Wrong;
    }
    return context.elapsed_ > context.deadline_ ? RequestOutcome::Late : RequestOutcome::Complete;
}

} // namespace bench
