#include "details/EntryImpl.h"

#include <balance/HandBack.h>
#include <base/Clock.h>
#include <base/Mac.h>
#include <base/Overloaded.h>
#include <dock/Executor.h>
#include <dock/HeaderNames.h>
#include <net/PeerClient.h>
#include <once/Entry.h>
#include <openssl/rand.h>
#include <retry/ContextTable.h>

namespace dock {

namespace {

constexpr base::Millis retryAfterNoRoom(1000);

/** Retries of a routed request on other instances while none has run or refused it. */
constexpr std::uint32_t maxFreeRouteRetries = 3;

/**
 * Retries of a routed request on other instances after refusals by backend servers. They are
 * limited by the executors' budgets; a smaller number would end requests that these carry through.
 */
constexpr std::uint32_t maxRefusedRouteRetries = 10;

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&seed), sizeof(seed));
    return seed;
}

} // namespace

Entry::Impl::Impl(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
                  net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
                  const CallInterface &interface, details::Allowances &allowances)
    : reactor_(reactor)
    , settings_(settings)
    , interface_(interface)
    , allowances_(allowances)
    , answerFormat_(answerFormatOf(interface))
    , self_(std::move(self))
    , client_(client)
    , executor_(executor)
    , contexts_(contexts)
    , routing_({.daemonId_ = settings.id_,
                .dataCentre_ = settings.dataCentre_,
                .region_ = settings.region_,
                .seed_ = randomSeed(),
                .evenLoad_ = settings.evenLoad_})
    , home_(std::in_place, self_, homeSettings(settings), base::randomSecret())
    , retryIdempotent_(retrySettings(settings, interface), contexts, randomSeed())
    , retryKeyed_(retrySettingsOfKeyed(settings, interface), contexts, randomSeed())
    , recorder_(settings.traceFile_)
    , sender_(reactor, client, executor, routing_, settings.id_)
    , selector_(
              routing_, randomSeed(),
              [this](const CallInfo &call, admission::Level level) {
                  executor_.observeLevel(call.contextToken_, call.service_, level);
              },
              [this](const CallInfo &call, admission::Level level) {
                  executor_.observeRepeatLevel(call.contextToken_, call.service_, level);
              })
    , idempotentCalls_(
              reactor, retryIdempotent_, selector_, sender_,
              [this](const CallInfo &call) { return !isBaseline() && reader_.mustRunOnce(call); },
              interface.hasRoutes())
    , keyedCalls_(
              reactor, *home_, retryKeyed_, selector_, sender_,
              [this](const std::string &id) { return findMember(id); },
              [this](const CallInfo &call, const Redelegation &redelegation) {
                  redelegationLog_.record(call, redelegation, base::monotonicNow());
              })
    , requestKeys_(settings.onceRecords_)
    , reader_(settings, interface, executor, contexts, randomSeed())
{
    allowances_.onChanged([this] { decideHeld(); });
}

Entry::Impl::~Impl()
{
    allowances_.onChanged({});
    for (const auto &[id, held] : heldCalls_)
        reactor_.cancel(held.timer_);
}

net::HttpResponse Entry::Impl::drainingRefusal() const
{
    return refusal(statusUnavailable, "draining", retryAfterClosed, {}, answerFormat_.retryAfter_);
}

once::HomeSettings Entry::Impl::homeSettings(const settings::Settings &settings)
{
    return {.keyLifetime_ = settings.keyLifetime_,
            .maxRecords_ = settings.onceRecords_,
            .maxAnswerBytes_ = settings.onceBytes_};
}

retry::RetrySettings Entry::Impl::retrySettings(const settings::Settings &settings,
                                                const CallInterface &interface)
{
    retry::RetrySettings result;
    if (settings.evenLoad_)
        result.maxHandBacks_ = balance::maxHandBacks;
    if (interface.hasRoutes()) {
        result.enforcesRatio_ = false;
        result.maxUnreachedRetries_ = maxFreeRouteRetries;
        result.maxRefusalRetries_ = maxRefusedRouteRetries;
    }
    if (settings.mode_ == settings::Mode::Baseline) {
        // Three retries at each hop regardless of load, as is common in client libraries.
        result.initialTokens_ = 1e9;
        result.maxTokens_ = 1e9;
        result.maxOverloadRefusals_ = 1000;
    }
    return result;
}

retry::RetrySettings Entry::Impl::retrySettingsOfKeyed(const settings::Settings &settings,
                                                       const CallInterface &interface)
{
    if (interface.hasRoutes())
        return retrySettings(settings, interface);
    return {.maxHandBacks_ = settings.evenLoad_ ? balance::maxHandBacks : 0};
}

const model::Member *Entry::Impl::findMember(const std::string &id) const
{
    const auto found = memberById_.find(id);
    return found != memberById_.end() ? found->second : nullptr;
}

std::string Entry::Impl::issueNextKey(const CallInfo &call)
{
    if (isDraining_ || call.isChild() || interface_.hasRoutes())
        return {};
    return home_->issueKey(call.keyCustomer_, call.service_, base::monotonicNow()).text();
}

/** The allowance that the request counts against, or nullptr. */
const model::Allowance *Entry::Impl::allowanceOf(const CallInfo &call, RequestSource source)
{
    // Calls of running requests and requests that another daemon forwards are counted already.
    if (call.isChild() || source == RequestSource::Daemon)
        return nullptr;
    const auto *allowance = allowances_.find(call.customer_);
    if (allowance == nullptr)
        return nullptr;
    const bool isRepeated = interface_.hasRoutes() && needsKey(call) && !call.requestId_.empty()
                            && requestKeys_.find(call.requestId_, call.receivedAt_) != nullptr;
    return isRepeated ? nullptr : allowance;
}

void Entry::Impl::startWithin(const model::Allowance &allowance, EntryId id, CallInfo call)
{
    const auto verdict = allowances_.admit(call.customer_, allowance);
    std::visit(base::Overloaded{
                       [&](const allowance::Admitted &) {
                           openRequests_.at(id).tokenTakenAt_ = base::elapsedNow();
                           start(id, std::move(call), RequestSource::Caller);
                       },
                       [&](const allowance::Held &) { hold(id, std::move(call)); },
                       [&](const allowance::Refused &refused) { refuse(id, refused); },
               },
               verdict);
}

/** Keeps a request until there is a token for it, or none has come for too long. */
void Entry::Impl::hold(EntryId id, CallInfo call)
{
    const auto timer = reactor_.schedule(allowances_.maxHold(), [this, id] {
        const auto node = heldCalls_.extract(id);
        if (node.empty())
            return;
        const auto verdict = allowances_.giveUp(node.mapped().call_.customer_);
        if (const auto *refused = std::get_if<allowance::Refused>(&verdict))
            refuse(id, *refused);
    });
    heldCalls_.emplace(id, HeldCall{std::move(call), timer});
    setWork(id, HeldWork{id});
    allowances_.ask();
}

/** Decides again on the requests that wait for a token. */
void Entry::Impl::decideHeld()
{
    std::vector<EntryId> ids;
    for (const auto &[id, held] : heldCalls_)
        ids.push_back(id);
    for (const auto id : ids) {
        const auto found = heldCalls_.find(id);
        if (found == heldCalls_.end())
            continue;
        const auto customer = found->second.call_.customer_;
        if (allowances_.find(customer) == nullptr) {
            allowances_.leave(customer);
            startHeld(id, false);
            continue;
        }
        const auto verdict = allowances_.retry(customer);
        if (std::holds_alternative<allowance::Admitted>(verdict)) {
            startHeld(id, true);
        } else if (const auto *refused = std::get_if<allowance::Refused>(&verdict)) {
            reactor_.cancel(heldCalls_.extract(id).mapped().timer_);
            refuse(id, *refused);
        }
    }
}

void Entry::Impl::startHeld(EntryId id, bool hasToken)
{
    auto node = heldCalls_.extract(id);
    reactor_.cancel(node.mapped().timer_);
    auto &open = openRequests_.at(id);
    open.work_ = {};
    if (hasToken)
        open.tokenTakenAt_ = base::elapsedNow();
    start(id, std::move(node.mapped().call_), RequestSource::Caller);
}

/** Ends the wait of a request that is gone. */
void Entry::Impl::endHold(EntryId id)
{
    const auto node = heldCalls_.extract(id);
    if (node.empty())
        return;
    reactor_.cancel(node.mapped().timer_);
    allowances_.leave(node.mapped().call_.customer_);
}

void Entry::Impl::refuseHeld(const once::NotRun &why)
{
    while (!heldCalls_.empty()) {
        const auto id = heldCalls_.begin()->first;
        endHold(id);
        finishWithOutcome(id, why);
    }
}

void Entry::Impl::refuse(EntryId id, const allowance::Refused &refused)
{
    const auto reason = refused.reason_ == allowance::RefusalReason::Spent
                                ? once::Reason::AllowanceSpent
                                : once::Reason::AllowanceUnknown;
    finishWithOutcome(id, once::NotRun{reason, refused.retryAfter_});
}

void Entry::Impl::start(EntryId id, CallInfo call, RequestSource source)
{
    if (call.isChild())
        contexts_.recordCallStarted(call.contextToken_);
    if (needsKey(call))
        startKeyed(id, std::move(call), source);
    else
        startIdempotent(id, std::move(call));
}

void Entry::Impl::startIdempotent(EntryId id, CallInfo call)
{
    const auto started = idempotentCalls_.start(
            std::move(call), [this, id](const once::Outcome &outcome, const CallReport &report) {
                finishWithOutcome(id, outcome, report);
            });
    setWork(id, IdempotentWork{started});
}

// An issued key is honoured even if the class is idempotent here: a daemon with another
// configuration may have issued it for a non-idempotent class.
bool Entry::Impl::needsKey(const CallInfo &call) const
{
    if (isBaseline())
        return false;
    return !call.class_.idempotent_
           || (!interface_.hasRoutes() && once::isIssuedFor(call.idempotencyKey_, call.service_));
}

/** Whether the drain, if there is one, still allows the request. */
bool Entry::Impl::mayAccept(const CallInfo &call) const
{
    if (!call.isChild())
        return !isRefusingRoots_;
    return !accepts_
           || accepts_({.timeLeft_ = call.deadline_ - call.receivedAt_,
                        .usualTime_ = usualTimes_.of(call.class_.name_)});
}

void Entry::Impl::refuseAsDraining(EntryId id, const CallInfo &call)
{
    failureLog_.record(call, once::NotRun{once::Reason::Draining, retryAfterClosed}, {},
                       base::monotonicNow());
    finishUnserved(id, call.request_, drainingRefusal());
}

/** A configuration that may be outdated does not prove that the destination is missing. */
void Entry::Impl::refuseWithoutDestination(EntryId id, const net::HttpRequest &request)
{
    if (reader_.isConfigCurrent()) {
        finishUnserved(id, request, refusal(statusNotFound, "unknown-service"));
        return;
    }
    const once::NotRun why{once::Reason::Unconfirmed, identity::Core::unconfirmed().retryAfter_};
    finishUnserved(id, request, callerAnswer(why, answerFormat_));
}

/** Refuses a request because of its access key, or as the key cannot be checked. */
void Entry::Impl::deny(EntryId id, const CallInfo &call)
{
    const auto now = base::monotonicNow();
    recorder_.recordFinished(call, *call.denial_, {}, now);
    denialLog_.record(call, reader_.evidenceAge(), now);
    finishUnserved(id, call.request_, callerAnswer(*call.denial_, answerFormat_));
}

void Entry::Impl::startKeyed(EntryId id, CallInfo call, RequestSource source)
{
    // An issued key identifies the same request in all running calls, so its home handles it.
    if (call.isChild() && !once::isIssuedFor(call.idempotencyKey_, call.service_)) {
        auto text = call.idempotencyKey_.empty() ? call.requestId_ : call.idempotencyKey_;
        if (text.empty())
            text = "unnamed-" + std::to_string(nextUnnamedCall_++);
        const once::ContextKey key{call.contextToken_, text};
        startAtHome(id, std::move(call), key);
        return;
    }
    if (interface_.hasRoutes()) {
        startWithRequestId(id, std::move(call));
        return;
    }
    if (call.idempotencyKey_.empty()) {
        finish(id, refusal(statusKeyNeeded, "key-needed", {}, issueNextKey(call)));
        return;
    }
    const auto decision = once::decideAtEntry(self_, call.idempotencyKey_, call.hasUnknownContext_);
    std::visit(base::Overloaded{
                       [&](const once::DecideLocally &local) {
                           startAtHome(id, std::move(call), local.key_);
                       },
                       [&](const once::ForwardToHome &remote) {
                           // A forwarded request whose key belongs to another incarnation is not
                           // forwarded again: the home of that key no longer exists.
                           if (source == RequestSource::Daemon)
                               finishWithOutcome(id, once::homeUnreachable());
                           else
                               forward(id, call, remote.key_);
                       },
                       [&](const once::NotRun &why) { finishWithOutcome(id, why); },
                       [&](const once::Unknown &why) { finishWithOutcome(id, why); },
               },
               decision);
}

// On routes, callers use a new request id for each attempt, so the key need not leave this daemon.
void Entry::Impl::startWithRequestId(EntryId id, CallInfo call)
{
    if (const auto *existing = requestKeys_.find(call.requestId_, call.receivedAt_)) {
        auto key = *existing;
        call.service_ = key.service_; // on a weighted split, the service that was chosen first
        startAtHome(id, std::move(call), std::move(key));
        return;
    }
    auto key = home_->issueKey(call.keyCustomer_, call.service_, call.receivedAt_);
    if (!call.requestId_.empty() && !requestKeys_.add(call.requestId_, key, call.receivedAt_)) {
        finishWithOutcome(id, once::NotRun{once::Reason::NoRoom, retryAfterNoRoom});
        return;
    }
    startAtHome(id, std::move(call), std::move(key));
}

void Entry::Impl::startAtHome(EntryId id, CallInfo call,
                              const std::variant<once::Key, once::ContextKey> &key)
{
    const auto started =
            keyedCalls_.start(std::move(call), key,
                              [this, id](const once::Outcome &outcome, const CallReport &report) {
                                  finishWithOutcome(id, outcome, report);
                              });
    setWork(id, KeyedWork{started});
}

void Entry::Impl::forward(EntryId id, const CallInfo &call, const once::Key &key)
{
    const auto *member = findMember(key.home_.id_);
    if (member == nullptr || member->generation_ != key.home_.generation_) {
        finishWithOutcome(id, once::homeUnreachable());
        return;
    }
    const auto timeLeft = call.deadline_ - base::monotonicNow();
    auto request = call.request_;
    request.target_ = "/" + call.service_ + request.target_;
    request.headers_.push_back({header::kind, "home"});
    request.headers_.push_back({header::deadlineMs, std::to_string(timeLeft.count())});
    const auto sent =
            client_.send(member->peerAddress_, std::move(request), timeLeft,
                         [this, id](net::CallResult result) { forwarded(id, std::move(result)); });
    setWork(id, ForwardedWork{sent});
}

// The home has recorded the request, so this daemon only passes the response on.
void Entry::Impl::forwarded(EntryId id, net::CallResult result)
{
    if (result && !net::headerValue(result->headers_, header::outcome).empty())
        finish(id, std::move(*result));
    else
        finishWithOutcome(id, once::homeUnreachable());
}

/** Records what the distribution of repeats needs while a service has too few of them. */
void Entry::Impl::recordForRepeats(const CallInfo &call, const once::Outcome &outcome,
                                   std::uint32_t completedCalls, base::Millis now)
{
    if (std::holds_alternative<once::NotRun>(outcome))
        return;
    if (!call.isChild())
        selector_.recordRootEnd(call, outcome, now);
    else if (executor_.hasRepeatLevels() && std::holds_alternative<once::Complete>(outcome))
        contexts_.recordCompletedCalls(call.contextToken_, completedCalls + 1);
}

void Entry::Impl::finishWithOutcome(EntryId id, const once::Outcome &outcome,
                                    const CallReport &report)
{
    const auto found = openRequests_.find(id);
    if (found == openRequests_.end())
        return;
    const auto &call = found->second.call_;
    const auto now = base::monotonicNow();
    if (!std::holds_alternative<once::NotRun>(outcome))
        usualTimes_.record(call.class_.name_, now - call.receivedAt_);
    if (found->second.tokenTakenAt_ && std::holds_alternative<once::NotRun>(outcome))
        allowances_.refund(call.customer_, *found->second.tokenTakenAt_);
    recordForRepeats(call, outcome, report.completedCalls_, now);
    recorder_.recordFinished(call, outcome, report, now);
    failureLog_.record(call, outcome, report, now);
    const auto answered = selector_.withRetryAfter(call, outcome, now);
    finish(id, callerAnswer(answered, answerFormat_,
                            needsKey(call) ? issueNextKey(call) : std::string()));
}

void Entry::Impl::setWork(EntryId id, Work work)
{
    if (const auto found = openRequests_.find(id); found != openRequests_.end())
        found->second.work_ = work;
}

void Entry::Impl::cancelWork(const Work &work)
{
    std::visit(base::Overloaded{
                       [](std::monostate) {},
                       [this](const IdempotentWork &one) { idempotentCalls_.cancel(one.call_); },
                       [this](const KeyedWork &one) { keyedCalls_.cancel(one.waiter_); },
                       [this](const ForwardedWork &one) { client_.cancel(one.call_); },
                       [this](const HeldWork &one) { endHold(one.id_); },
               },
               work);
}

/** Cancels the work as the process is about to exit; the outcome is what is known by now. */
once::Outcome Entry::Impl::abandon(const Work &work)
{
    const auto *idempotent = std::get_if<IdempotentWork>(&work);
    const bool isHeld = std::holds_alternative<HeldWork>(work);
    if (isHeld || (idempotent != nullptr && !idempotentCalls_.mayHaveRun(idempotent->call_))) {
        cancelWork(work);
        return once::NotRun{once::Reason::Draining, retryAfterClosed};
    }
    cancelWork(work);
    return once::Unknown{once::Reason::Draining};
}

/** Id of the daemon that a request was last sent to; empty if it is at none. */
std::string Entry::Impl::executorOf(const Work &work) const
{
    return std::visit(
            base::Overloaded{
                    [](std::monostate) { return std::string(); },
                    [this](const IdempotentWork &one) {
                        return idempotentCalls_.executorOf(one.call_);
                    },
                    [this](const KeyedWork &one) { return keyedCalls_.executorOf(one.waiter_); },
                    [](const ForwardedWork &) { return std::string("home"); },
                    [](const HeldWork &) { return std::string(); },
            },
            work);
}

void Entry::Impl::finish(EntryId id, net::HttpResponse response)
{
    auto node = openRequests_.extract(id);
    if (!node.empty())
        node.mapped().respond_(std::move(response));
}

/**
 * Responds to a request that this daemon cannot serve. The outcome is unknown rather than not run
 * if its key may have been used through another daemon.
 */
void Entry::Impl::finishUnserved(EntryId id, const net::HttpRequest &request,
                                 net::HttpResponse refused)
{
    const auto key = net::headerValue(request.headers_, header::idempotencyKey);
    const auto context = net::headerValue(request.headers_, header::context);
    if (!interface_.hasRoutes() && once::mayHaveRun(key, !context.empty()))
        refused = callerAnswer(once::homeUnreachable(), answerFormat_);
    finish(id, std::move(refused));
}

} // namespace dock
