#include <dock/AttemptSender.h>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <dock/AttemptCodec.h>
#include <net/PeerClient.h>
#include <net/Reactor.h>
#include <routing/Core.h>

namespace dock {

namespace {

/** Additional wait after the deadline, so that the executor can still report a late attempt. */
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

/** Lowest status that means that the backend server failed. */
constexpr int firstServerError = 500;

routing::AnswerKind answerKindOf(const once::Outcome &outcome)
{
    using routing::AnswerKind;
    return std::visit(base::Overloaded{
                              [](const once::Complete &completed) {
                                  return completed.answer_->status_ >= firstServerError
                                                 ? AnswerKind::Failed
                                                 : AnswerKind::Complete;
                              },
                              [](const once::NotRun &why) {
                                  if (why.reason_ == once::Reason::BackendRefused)
                                      return AnswerKind::Failed;
                                  return why.reason_ == once::Reason::Overloaded
                                                 ? AnswerKind::Shed
                                                 : AnswerKind::Refused;
                              },
                              [](const once::Unknown &why) {
                                  return why.reason_ == once::Reason::AnswerLost
                                                 ? AnswerKind::Failed
                                                 : AnswerKind::Unknown;
                              },
                      },
                      outcome);
}

SendResult decodeResult(net::CallResult result)
{
    if (!result)
        return tl::unexpected(result.error().kind_);
    auto answer = decodeAnswer(std::move(*result));
    if (!answer)
        return tl::unexpected(net::FailureKind::Lost);
    return std::move(*answer);
}

bool isBackendDown(const once::Outcome &outcome)
{
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    return notRun != nullptr && notRun->reason_ == once::Reason::BackendUnavailable;
}

bool isHandedBack(const once::Outcome &outcome)
{
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    return notRun != nullptr && notRun->reason_ == once::Reason::HandedBack;
}

} // namespace

AttemptSender::AttemptSender(net::Reactor &reactor, net::PeerClient &client, Executor &local,
                             routing::Core &routing, std::string selfId)
    : reactor_(reactor)
    , client_(client)
    , localExecutor_(local)
    , routing_(routing)
    , selfId_(std::move(selfId))
{}

AttemptSender::~AttemptSender()
{
    *isAlive_ = false;
}

SendId AttemptSender::send(const Selected &to, Attempt attempt, Done done)
{
    const auto id = startPending(to.member_, to.routingPriority_, false, std::move(done));
    pending_.at(id).isOtherFree_ = to.isOtherFree_;
    routing_.handle(routing::CallSent{to.member_.id_, to.routingPriority_}, base::monotonicNow());
    transmit(id, to.member_, std::move(attempt));
    return id;
}

SendId AttemptSender::sendControl(const model::Member &to, Attempt attempt, Done done)
{
    const auto id = startPending(to, {}, true, std::move(done));
    transmit(id, to, std::move(attempt));
    return id;
}

SendId AttemptSender::startPending(const model::Member &to,
                                   const admission::Priority &routingPriority, bool isControl,
                                   Done done)
{
    const auto id = nextId_++;
    pending_[id] = {.instance_ = to.id_,
                    .generation_ = to.generation_,
                    .routingPriority_ = routingPriority,
                    .isControl_ = isControl,
                    .isLocal_ = to.id_ == selfId_,
                    .done_ = std::move(done)};
    return id;
}

void AttemptSender::transmit(SendId id, const model::Member &to, Attempt attempt)
{
    auto &pending = pending_.at(id);
    if (pending.isLocal_) {
        // The answer function may be called from inside accept(), so the answer is posted.
        pending.attempt_ = localExecutor_.accept(
                std::move(attempt), [this, id, alive = isAlive_](AttemptAnswer answer) {
                    reactor_.post([this, id, alive, answer = std::move(answer)]() mutable {
                        if (*alive)
                            complete(id, std::move(answer));
                    });
                });
        return;
    }
    const auto timeout = attempt.timeLeft_ + answerGrace;
    pending.call_ = client_.send(
            to.peerAddress_, encodeAttempt(std::move(attempt)), timeout,
            [this, id](net::CallResult result) { complete(id, decodeResult(std::move(result))); });
}

void AttemptSender::cancel(SendId id)
{
    auto node = pending_.extract(id);
    if (node.empty())
        return;
    const auto &pending = node.mapped();
    if (pending.isLocal_)
        localExecutor_.cancel(pending.attempt_);
    else
        client_.cancel(pending.call_);
    if (!pending.isControl_)
        routing_.handle(routing::CallFailed{pending.instance_, routing::FailureKind::Cancelled},
                        base::monotonicNow());
}

void AttemptSender::complete(SendId id, SendResult result)
{
    auto node = pending_.extract(id);
    if (node.empty())
        return;
    if (!node.mapped().isControl_)
        reportToRouting(node.mapped(), result);
    node.mapped().done_(std::move(result));
}

void AttemptSender::reportToRouting(const Pending &pending, const SendResult &result)
{
    const auto now = base::monotonicNow();
    if (!result) {
        routing_.handle(routing::CallFailed{pending.instance_, routingKindOf(result.error())}, now);
        return;
    }
    if (isBackendDown(result->outcome_)) {
        routing_.handle(routing::CallFailed{pending.instance_, routing::FailureKind::NotSent}, now);
        return;
    }
    routing_.handle(routing::CallAnswered{.instance_ = pending.instance_,
                                          .kind_ = answerKindOf(result->outcome_),
                                          .priority_ = pending.routingPriority_,
                                          .level_ = result->levels_.instance_,
                                          .isLeaving_ = result->isDraining_,
                                          .isHandedBack_ = isHandedBack(result->outcome_),
                                          .isOtherFree_ = pending.isOtherFree_,
                                          .queueing_ = result->queueing_,
                                          .load_ = result->load_,
                                          .generation_ = pending.generation_},
                    now);
}

} // namespace dock
