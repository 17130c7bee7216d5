#include <dock/Entry.h>

#include <algorithm>
#include <unordered_map>

#include <base/Clock.h>
#include <base/Mac.h>
#include <base/Overloaded.h>
#include <dock/AttemptSender.h>
#include <dock/CallInterface.h>
#include <dock/CallerAnswer.h>
#include <dock/Executor.h>
#include <dock/HeaderNames.h>
#include <dock/IdempotentCalls.h>
#include <dock/InstanceSelector.h>
#include <dock/KeyedCalls.h>
#include <dock/Recorder.h>
#include <net/PeerClient.h>
#include <net/Reactor.h>
#include <once/Entry.h>
#include <once/Home.h>
#include <openssl/rand.h>
#include <retry/ContextTable.h>
#include <retry/Core.h>
#include <routing/Core.h>
#include <settings/Settings.h>

#include "details/FailureLog.h"
#include "details/RedelegationLog.h"
#include "details/RequestKeys.h"
#include "details/RequestReader.h"

namespace dock {

namespace {

constexpr base::Millis retryAfterUnconfigured(1000);
constexpr base::Millis retryAfterClosed(200); ///< short, as another daemon can serve it at once
constexpr base::Millis retryAfterNoRoom(1000);

/** Retries of a routed request on other instances while none has run or refused it. */
constexpr std::uint32_t maxFreeRouteRetries = 3;

/** Retries of a routed request on other instances after refusals by backend servers. */
constexpr std::uint32_t maxRefusedRouteRetries = 3;

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&seed), sizeof(seed));
    return seed;
}

} // namespace

struct Entry::Impl
{
    Impl(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
         net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
         const CallInterface &interface)
        : settings_(settings)
        , interface_(interface)
        , answerFormat_(answerFormatOf(interface))
        , self_(std::move(self))
        , client_(client)
        , executor_(executor)
        , routing_({.daemonId_ = settings.id_,
                    .dataCentre_ = settings.dataCentre_,
                    .region_ = settings.region_,
                    .seed_ = randomSeed()})
        , home_(std::in_place, self_, homeSettings(settings), base::randomSecret())
        , retryIdempotent_(retrySettings(settings, interface), contexts, randomSeed())
        , retryKeyed_(interface.hasRoutes() ? retrySettings(settings, interface)
                                            : retry::RetrySettings(),
                      contexts, randomSeed())
        , recorder_(settings.traceFile_)
        , sender_(reactor, client, executor, routing_, settings.id_)
        , selector_(routing_, randomSeed(),
                    [this](const CallInfo &call, admission::Level level) {
                        executor_.observeLevel(call.contextToken_, call.service_, level);
                    })
        , idempotentCalls_(
                  reactor, retryIdempotent_, selector_, sender_,
                  [this](const CallInfo &call) {
                      return !isBaseline() && reader_.mustRunOnce(call);
                  },
                  interface.hasRoutes())
        , keyedCalls_(
                  reactor, *home_, retryKeyed_, selector_, sender_,
                  [this](const std::string &id) { return findMember(id); },
                  [this](const CallInfo &call, const Redelegation &redelegation) {
                      redelegationLog_.record(call, redelegation, base::monotonicNow());
                  })
        , requestKeys_(settings.onceRecords_)
        , reader_(settings, interface, executor, contexts, randomSeed())
    {}

    /** A request that an idempotent call serves. */
    struct IdempotentWork
    {
        retry::CallId call_ = 0;
    };

    /** A request that waits for a record of the home. */
    struct KeyedWork
    {
        once::WaiterId waiter_ = 0;
    };

    /** A request forwarded to the home of its key. */
    struct ForwardedWork
    {
        net::CallId call_ = 0;
    };

    using Work = std::variant<std::monostate, IdempotentWork, KeyedWork, ForwardedWork>;

    /** A request in progress. */
    struct OpenRequest
    {
        Respond respond_;
        CallInfo call_; ///< without header fields and body
        Work work_;
    };

    static once::HomeSettings homeSettings(const settings::Settings &settings);
    static retry::RetrySettings retrySettings(const settings::Settings &settings,
                                              const CallInterface &interface);
    net::HttpResponse drainingRefusal() const
    {
        return refusal(statusUnavailable, "draining", retryAfterClosed, {},
                       answerFormat_.retryAfter_);
    }
    bool isBaseline() const { return settings_.mode_ == settings::Mode::Baseline; }
    bool needsKey(const CallInfo &call) const;
    const model::Member *findMember(const std::string &id) const;
    std::string issueNextKey(const CallInfo &call);
    void startIdempotent(EntryId id, CallInfo call);
    void startKeyed(EntryId id, CallInfo call, RequestSource source);
    void startWithRequestId(EntryId id, CallInfo call);
    void finishUnserved(EntryId id, const net::HttpRequest &request, net::HttpResponse refused);
    void startAtHome(EntryId id, CallInfo call,
                     const std::variant<once::Key, once::ContextKey> &key);
    void forward(EntryId id, const CallInfo &call, const once::Key &key);
    void setWork(EntryId id, Work work);
    void cancelWork(const Work &work);
    once::Outcome abandon(const Work &work);
    std::string executorOf(const Work &work) const;
    void finish(EntryId id, net::HttpResponse response);
    void forwarded(EntryId id, net::CallResult result);
    void finishWithOutcome(EntryId id, const once::Outcome &outcome, const CallReport &report = {});

    const settings::Settings &settings_;
    const CallInterface &interface_;
    const AnswerFormat answerFormat_;
    once::Incarnation self_;
    net::PeerClient &client_;
    Executor &executor_;
    routing::Core routing_;
    std::optional<once::Home> home_;
    retry::Core retryIdempotent_;
    retry::Core retryKeyed_;
    Recorder recorder_;
    AttemptSender sender_;
    InstanceSelector selector_;
    IdempotentCalls idempotentCalls_;
    KeyedCalls keyedCalls_;
    details::RequestKeys requestKeys_;
    details::RequestReader reader_;
    Members members_;
    std::unordered_map<std::string, const model::Member *> memberById_;
    std::unordered_map<EntryId, OpenRequest> openRequests_;
    EntryId nextId_ = 1;
    std::uint64_t nextUnnamedCall_ = 1;
    details::FailureLog failureLog_;
    details::RedelegationLog redelegationLog_;
    bool isDraining_ = false;
    bool isRefusingRoots_ = false;
    bool isClosed_ = false;
};

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

void Entry::Impl::finishWithOutcome(EntryId id, const once::Outcome &outcome,
                                    const CallReport &report)
{
    const auto found = openRequests_.find(id);
    if (found == openRequests_.end())
        return;
    const auto &call = found->second.call_;
    recorder_.recordFinished(call, outcome, report, base::monotonicNow());
    failureLog_.record(call, outcome, report, base::monotonicNow());
    const auto answered = selector_.withRetryAfter(call, outcome, base::monotonicNow());
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
               },
               work);
}

/** Cancels the work as the process is about to exit; the outcome is what is known by now. */
once::Outcome Entry::Impl::abandon(const Work &work)
{
    const auto *idempotent = std::get_if<IdempotentWork>(&work);
    if (idempotent != nullptr && !idempotentCalls_.mayHaveRun(idempotent->call_)) {
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
            },
            work);
}

void Entry::Impl::finish(EntryId id, net::HttpResponse response)
{
    auto node = openRequests_.extract(id);
    if (!node.empty())
        node.mapped().respond_(std::move(response));
}

Entry::Entry(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
             net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
             const CallInterface &interface)
    : impl_(std::make_unique<Impl>(reactor, settings, std::move(self), client, executor, contexts,
                                   interface))
{}

Entry::~Entry() = default;

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

EntryId Entry::receive(net::HttpRequest request, RequestSource source, Respond respond)
{
    const auto id = impl_->nextId_++;
    auto &open = impl_->openRequests_[id];
    open.respond_ = std::move(respond);
    if (impl_->isClosed_) {
        impl_->finishUnserved(id, request, impl_->drainingRefusal());
        return 0;
    }
    if (!impl_->reader_.hasConfig()) {
        impl_->finishUnserved(
                id, request,
                refusal(statusUnavailable, "no-configuration", retryAfterUnconfigured));
        return 0;
    }
    auto call = impl_->reader_.read(request, impl_->settings_.id_ + std::to_string(id));
    if (!call) {
        impl_->finishUnserved(id, request, refusal(statusNotFound, "unknown-service"));
        return 0;
    }
    if (impl_->isRefusingRoots_ && !call->isChild()) {
        impl_->finishUnserved(id, call->request_, impl_->drainingRefusal());
        return 0;
    }
    open.call_ = withoutContent(*call);
    if (impl_->needsKey(*call))
        impl_->startKeyed(id, std::move(*call), source);
    else
        impl_->startIdempotent(id, std::move(*call));
    return impl_->openRequests_.contains(id) ? id : 0;
}

void Entry::cancel(EntryId id)
{
    if (const auto node = impl_->openRequests_.extract(id); !node.empty())
        impl_->cancelWork(node.mapped().work_);
}

std::vector<std::string> Entry::issueKeys(const std::string &customer, const std::string &service,
                                          std::size_t count)
{
    std::vector<std::string> keys;
    if (impl_->isDraining_)
        return keys;
    for (std::size_t i = 0; i < count; ++i)
        keys.push_back(
                impl_->home_
                        ->issueKey(customer.substr(0, details::RequestReader::maxCustomerBytes),
                                   service, base::monotonicNow())
                        .text());
    return keys;
}

void Entry::contextEnded(const std::string &token)
{
    impl_->keyedCalls_.contextEnded(token);
}

void Entry::contextCancelled(const std::string &token)
{
    std::vector<EntryId> children;
    for (const auto &[id, open] : impl_->openRequests_) {
        if (open.call_.contextToken_ == token && !impl_->needsKey(open.call_))
            children.push_back(id);
    }
    for (const auto id : children) {
        impl_->cancelWork(impl_->openRequests_.at(id).work_);
        impl_->finishWithOutcome(id, once::Unknown{once::Reason::Cancelled});
    }
}

void Entry::configure(std::shared_ptr<const model::Config> config)
{
    impl_->recorder_.configure(*config);
    impl_->reader_.configure(std::move(config));
}

void Entry::setMembers(Members members)
{
    impl_->members_ = std::move(members);
    impl_->memberById_.clear();
    for (const auto &member : *impl_->members_)
        impl_->memberById_[member.id_] = &member;
    impl_->routing_.handle(routing::MembersChanged{*impl_->members_}, base::monotonicNow());
}

void Entry::setIncarnation(once::Incarnation self)
{
    impl_->self_ = self;
    impl_->keyedCalls_.abandonAll();
    impl_->home_.emplace(std::move(self), Impl::homeSettings(impl_->settings_),
                         base::randomSecret());
}

void Entry::drain()
{
    impl_->isDraining_ = true;
}

void Entry::refuseRootRequests()
{
    impl_->isRefusingRoots_ = true;
}

void Entry::close()
{
    impl_->isClosed_ = true;
}

void Entry::takeBack()
{
    std::vector<once::WaiterId> waiters;
    for (const auto &[id, open] : impl_->openRequests_) {
        const auto *keyed = std::get_if<Impl::KeyedWork>(&open.work_);
        if (keyed != nullptr && !open.call_.isChild())
            waiters.push_back(keyed->waiter_);
    }
    for (const auto waiter : waiters)
        impl_->keyedCalls_.withdraw(waiter, once::NotRun{once::Reason::Draining, retryAfterClosed});
}

void Entry::answerOpenRequests()
{
    std::vector<EntryId> ids;
    for (const auto &[id, open] : impl_->openRequests_)
        ids.push_back(id);
    for (const auto id : ids) {
        const auto found = impl_->openRequests_.find(id);
        if (found == impl_->openRequests_.end())
            continue;
        const auto outcome = impl_->abandon(found->second.work_);
        impl_->finishWithOutcome(id, outcome);
    }
}

void Entry::prune()
{
    impl_->selector_.prune(base::monotonicNow());
}

std::size_t Entry::activeCount() const
{
    return impl_->openRequests_.size();
}

std::size_t Entry::activeRootCount() const
{
    return static_cast<std::size_t>(
            std::count_if(impl_->openRequests_.begin(), impl_->openRequests_.end(),
                          [](const auto &entry) { return !entry.second.call_.isChild(); }));
}

std::vector<OpenRequest> Entry::openRequests() const
{
    std::vector<OpenRequest> requests;
    requests.reserve(impl_->openRequests_.size());
    for (const auto &[id, open] : impl_->openRequests_)
        requests.push_back({open.call_, impl_->executorOf(open.work_)});
    return requests;
}

const std::map<std::string, std::uint64_t> &Entry::redelegations() const
{
    return impl_->redelegationLog_.counts();
}

const Recorder &Entry::recorder() const
{
    return impl_->recorder_;
}

} // namespace dock
