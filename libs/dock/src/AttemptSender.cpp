#include <dock/AttemptSender.h>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <dock/AttemptCodec.h>
#include <net/PeerClient.h>
#include <net/Reactor.h>
#include <routing/Core.h>

namespace dock {

namespace {

/** Time beyond the deadline in which the executor's own word on a late attempt is awaited. */
constexpr base::Millis answerGrace(50);

routing::FailureKind routingKindOf(net::FailureKind kind)
{
    switch (kind) {
    case net::FailureKind::NotSent:
        return routing::FailureKind::NotSent;
    case net::FailureKind::TimedOut:
        return routing::FailureKind::TimedOut;
    case net::FailureKind::Lost:
        break;
    }
    return routing::FailureKind::Lost;
}

routing::AnswerKind answerKindOf(const once::Outcome &outcome)
{
    return std::visit(base::Overloaded{
                              [](const once::Complete &) { return routing::AnswerKind::Complete; },
                              [](const once::NotRun &) { return routing::AnswerKind::Refused; },
                              [](const once::Unknown &) { return routing::AnswerKind::Unknown; },
                      },
                      outcome);
}

bool isBackendDown(const once::Outcome &outcome)
{
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    return notRun != nullptr && notRun->reason_ == once::Reason::BackendUnavailable;
}

} // namespace

AttemptSender::AttemptSender(net::Reactor &reactor, net::PeerClient &client, Executor &local,
                             routing::Core &routing, std::string selfId)
    : reactor_(reactor)
    , client_(client)
    , local_(local)
    , routing_(routing)
    , selfId_(std::move(selfId))
{}

AttemptSender::~AttemptSender()
{
    *isAlive_ = false;
}

SendId AttemptSender::send(const model::Member &to, Attempt attempt, Done done)
{
    const auto id = nextId_++;
    auto &pending = pending_[id];
    pending.instance_ = to.id_;
    pending.priority_ = attempt.priority_;
    pending.isLocal_ = to.id_ == selfId_;
    pending.done_ = std::move(done);
    routing_.handle(routing::Sent{to.id_, attempt.priority_}, base::monotonicNow());
    if (pending.isLocal_) {
        // The answer may come before accept() returns, so it is handled at the end of the turn.
        pending.attempt_ = local_.accept(
                std::move(attempt), [this, id, alive = isAlive_](AttemptAnswer answer) {
                    reactor_.post([this, id, alive, answer = std::move(answer)]() mutable {
                        if (*alive)
                            complete(id, std::move(answer));
                    });
                });
        return id;
    }
    const auto timeout = attempt.timeLeft_ + answerGrace;
    pending.call_ = client_.send(to.peerAddress_, encodeAttempt(std::move(attempt)), timeout,
                                 [this, id](net::CallResult result) {
                                     if (!result) {
                                         complete(id, tl::unexpected(result.error().kind_));
                                         return;
                                     }
                                     auto answer = decodeAnswer(std::move(*result));
                                     if (answer)
                                         complete(id, std::move(*answer));
                                     else
                                         complete(id, tl::unexpected(net::FailureKind::Lost));
                                 });
    return id;
}

void AttemptSender::cancel(SendId id)
{
    auto node = pending_.extract(id);
    if (node.empty())
        return;
    const auto &pending = node.mapped();
    if (pending.isLocal_)
        local_.cancel(pending.attempt_);
    else
        client_.cancel(pending.call_);
    routing_.handle(routing::Failed{pending.instance_, routing::FailureKind::Cancelled},
                    base::monotonicNow());
}

void AttemptSender::complete(SendId id, SendResult result)
{
    auto node = pending_.extract(id);
    if (node.empty())
        return;
    tellRouting(node.mapped(), result);
    node.mapped().done_(std::move(result));
}

void AttemptSender::tellRouting(const Pending &pending, const SendResult &result)
{
    const auto now = base::monotonicNow();
    if (!result) {
        routing_.handle(routing::Failed{pending.instance_, routingKindOf(result.error())}, now);
        return;
    }
    if (isBackendDown(result->outcome_)) {
        routing_.handle(routing::Failed{pending.instance_, routing::FailureKind::NotSent}, now);
        return;
    }
    routing_.handle(routing::Answered{.instance_ = pending.instance_,
                                      .kind_ = answerKindOf(result->outcome_),
                                      .priority_ = pending.priority_,
                                      .level_ = result->level_,
                                      .isLeaving_ = result->isLeaving_},
                    now);
}

} // namespace dock
