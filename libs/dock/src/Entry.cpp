#include <dock/Entry.h>

#include <unordered_map>

#include <base/Clock.h>
#include <base/Mac.h>
#include <base/Overloaded.h>
#include <base/Random.h>
#include <dock/AttemptCodec.h>
#include <dock/AttemptSender.h>
#include <dock/CallInterface.h>
#include <dock/CallerAnswer.h>
#include <dock/Executor.h>
#include <dock/HeaderNames.h>
#include <dock/IdempotentCalls.h>
#include <dock/InstanceSelector.h>
#include <dock/KeyedCalls.h>
#include <dock/Recorder.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <logclient/TokenBucket.h>
#include <net/PeerClient.h>
#include <net/Reactor.h>
#include <once/Entry.h>
#include <once/Home.h>
#include <openssl/rand.h>
#include <retry/ContextTable.h>
#include <retry/Core.h>
#include <routing/Core.h>
#include <settings/Settings.h>

namespace dock {

namespace {

constexpr std::size_t longestCustomer = 64;
constexpr std::uint64_t longestDeadlineMs = 600'000;
constexpr base::Millis retryWhenUnconfigured(1000);
constexpr base::Millis retryWhenClosed(200); ///< another daemon can serve it at once
constexpr std::uint32_t baselineRetries = 3;

/**
 * Part of a service's retry budget that the calls of one route use. A run that is repeated repeats
 * its calls, so the services of a chain of four routes above one another share its budget.
 */
constexpr double shareOfRetryBudget = 0.2;

/**
 * Retries of a route that one daemon saves up. Every daemon may spend its own within one window of
 * the budget, whose slack is about three for each daemon.
 */
constexpr double savedRouteRetries = 1;

/** Further instances that a request on a route is sent to as long as none ran or refused it. */
constexpr std::uint32_t freeRouteAttempts = 3;

/** Bound of the log lines on requests without an answer: 50 a second. */
constexpr std::uint32_t failureLineBurst = 50;
constexpr base::Millis failureLineInterval(20);

/** Customer of requests that state none, or one that the configuration does not name. */
const std::string defaultCustomer = "default";

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&seed), sizeof(seed));
    return seed;
}

/** Splits "/service/rest?query" into the service and the target below it. */
std::pair<std::string, std::string> splitTarget(const std::string &target)
{
    const auto begin = target.find_first_not_of('/');
    if (begin == std::string::npos)
        return {"", "/"};
    const auto end = target.find_first_of("/?", begin);
    if (end == std::string::npos)
        return {target.substr(begin), "/"};
    auto rest = target.substr(end);
    if (rest.front() == '?')
        rest.insert(rest.begin(), '/');
    return {target.substr(begin, end - begin), rest};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (auto &c : result)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return result;
}

/** Whether the field Connection names this one as concerning the connection only. */
bool isNamedByConnection(std::string_view connection, const std::string &name)
{
    while (!connection.empty()) {
        const auto comma = std::min(connection.find(','), connection.size());
        auto token = connection.substr(0, comma);
        connection.remove_prefix(std::min(comma + 1, connection.size()));
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (net::equalsIgnoringCase(token, name))
            return true;
    }
    return false;
}

/** Host name of a request without its port. */
std::string hostOf(const net::Headers &headers)
{
    const auto host = net::headerValue(headers, "host");
    return lowerCase(host.substr(0, host.find(':')));
}

/** Removes fields that concern this hop only, or that the system states itself. */
void removeOwnFields(net::Headers &headers, const CallInterface &interface)
{
    const std::string connection(net::headerValue(headers, "connection"));
    for (auto &field : headers)
        field.name_ = lowerCase(field.name_);
    std::erase_if(headers, [&](const net::Header &field) {
        const auto &name = field.name_;
        if (name == "host")
            return !interface.hasRoutes();
        return isHopByHop(name) || name.starts_with(header::peerPrefix)
               || name == interface.deadlineMs_ || name == interface.context_
               || name == interface.callerService_ || name == interface.expectedInstance_
               || isNamedByConnection(connection, name);
    });
}

} // namespace

struct Entry::Impl
{
    Impl(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
         net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
         const CallInterface &interface)
        : settings_(settings)
        , interface_(interface)
        , self_(std::move(self))
        , client_(client)
        , executor_(executor)
        , contexts_(contexts)
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
        , selector_(routing_,
                    [this](const CallInfo &call, admission::Level level) {
                        executor_.observeLevel(call.contextToken_, call.service_, level);
                    })
        , idempotent_(reactor, retryIdempotent_, selector_, sender_)
        , keyed_(reactor, *home_, retryKeyed_, selector_, sender_,
                 [this](const std::string &id) { return findMember(id); })
    {}

    /** A request that waits for its answer. */
    struct OpenRequest
    {
        Respond respond_;
        CallInfo call_; ///< without header fields and body
    };

    /** Where a request goes to. */
    struct Destination
    {
        std::string service_;
        std::string target_; ///< as the backend server gets it
        model::RequestClass class_;
        std::uint32_t maxAttempts_ = 1; ///< of a route
    };

    /** How to end one request before its answer. */
    using Cancel = std::function<void()>;

    static once::HomeSettings homeSettings(const settings::Settings &settings);
    static retry::RetrySettings retrySettings(const settings::Settings &settings,
                                              const CallInterface &interface);
    RetryAfterForm retryAfterForm() const
    {
        return interface_.hasFractionalRetryAfter_ ? RetryAfterForm::Decimals
                                                   : RetryAfterForm::WholeSeconds;
    }
    bool isBaseline() const { return settings_.mode_ == settings::Mode::Baseline; }
    bool needsKey(const CallInfo &call) const;
    const model::Member *findMember(const std::string &id) const;
    std::string customerOf(const std::string &stated) const;
    std::optional<Destination> destinationOf(const net::HttpRequest &request);
    CallInfo describe(net::HttpRequest request, Destination destination);
    base::Millis deadlineOf(const CallInfo &call, std::string_view stated) const;
    std::string contextTokenOf(const net::Headers &headers) const;
    void inheritFrom(CallInfo &call, const retry::RunningCall &parent) const;
    void addTolerance(CallInfo &call) const;
    void addRouteTolerance(CallInfo &call, std::uint32_t maxAttempts) const;
    std::string freshKey(const CallInfo &call);
    void startIdempotent(EntryId id, CallInfo call);
    void startKeyed(EntryId id, CallInfo call, RequestSource source);
    void finishUnserved(EntryId id, const net::HttpRequest &request, net::HttpResponse refused);
    void startAtHome(EntryId id, CallInfo call,
                     const std::variant<once::Key, once::ContextKey> &key);
    void forward(EntryId id, const CallInfo &call, const once::Key &key);
    void finish(EntryId id, net::HttpResponse response);
    void forwarded(EntryId id, net::CallResult result);
    void finishWith(EntryId id, const once::Outcome &outcome, const CallReport &report = {});
    void logFailure(const CallInfo &call, const once::Outcome &outcome, const CallReport &report);

    const settings::Settings &settings_;
    const CallInterface &interface_;
    base::Random random_{randomSeed()};
    once::Incarnation self_;
    net::PeerClient &client_;
    Executor &executor_;
    retry::ContextTable &contexts_;
    routing::Core routing_;
    std::optional<once::Home> home_;
    retry::Core retryIdempotent_;
    retry::Core retryKeyed_;
    Recorder recorder_;
    AttemptSender sender_;
    InstanceSelector selector_;
    IdempotentCalls idempotent_;
    KeyedCalls keyed_;
    std::shared_ptr<const model::Config> config_;
    Members members_;
    std::unordered_map<std::string, const model::Member *> memberById_;
    std::unordered_map<EntryId, OpenRequest> open_;
    std::unordered_map<EntryId, Cancel> cancels_;
    EntryId nextId_ = 1;
    std::uint64_t nextOwnKey_ = 1;
    logclient::TokenBucket failureLines_{failureLineBurst, failureLineInterval};
    std::uint64_t droppedLines_ = 0;
    bool isDraining_ = false;
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
        result.initialTokens_ = savedRouteRetries;
        result.maxTokens_ = savedRouteRetries;
        result.freeUnreached_ = freeRouteAttempts;
    }
    if (settings.mode_ == settings::Mode::Baseline) {
        // Three retries at each hop without regard to load, as many a client library does.
        result.initialTokens_ = 1e9;
        result.maxTokens_ = 1e9;
        result.maxOverloaded_ = 1000;
    }
    return result;
}

const model::Member *Entry::Impl::findMember(const std::string &id) const
{
    const auto found = memberById_.find(id);
    return found != memberById_.end() ? found->second : nullptr;
}

std::string Entry::Impl::customerOf(const std::string &stated) const
{
    // Callers can make up names; only those of the configuration are told apart.
    return config_->customers_.contains(stated) ? stated : defaultCustomer;
}

std::optional<Entry::Impl::Destination> Entry::Impl::destinationOf(const net::HttpRequest &request)
{
    if (!interface_.hasRoutes()) {
        auto [service, target] = splitTarget(request.target_);
        if (!config_->services_.contains(service))
            return std::nullopt;
        auto requestClass = config_->classify(service, request.method_, pathOf(target));
        return Destination{std::move(service), std::move(target), std::move(requestClass)};
    }
    const auto *route = config_->route(hostOf(request.headers_), pathOf(request.target_));
    if (route == nullptr)
        return std::nullopt;
    return Destination{std::string(route->serviceAt(random_.unit())), request.target_,
                       route->class_, route->maxAttempts_};
}

/** Point in time up to which the request is worked on, on this daemon's clock. */
base::Millis Entry::Impl::deadlineOf(const CallInfo &call, std::string_view stated) const
{
    const auto ofClass = static_cast<std::uint64_t>(call.class_.deadline_.count());
    auto time = std::min(numberOr(stated, ofClass), longestDeadlineMs);
    // On a route the configuration bounds what a caller asks for.
    if (interface_.hasRoutes())
        time = std::min(time, ofClass);
    return call.receivedAt_ + base::Millis(static_cast<std::int64_t>(time));
}

/** Token of the running call that made the request, as stated or as its id tells; may be empty. */
std::string Entry::Impl::contextTokenOf(const net::Headers &headers) const
{
    if (!interface_.requestIdSeparator_)
        return std::string(net::headerValue(headers, interface_.context_));
    const auto id = net::headerValue(headers, interface_.requestId_);
    const auto separator = id.rfind(*interface_.requestIdSeparator_);
    return separator == std::string_view::npos ? std::string()
                                               : executor_.contextOf(id.substr(0, separator));
}

CallInfo Entry::Impl::describe(net::HttpRequest request, Destination destination)
{
    CallInfo call;
    const auto &headers = request.headers_;
    call.receivedAt_ = base::monotonicNow();
    call.service_ = std::move(destination.service_);
    call.class_ = std::move(destination.class_);
    call.requestId_ = net::headerValue(headers, interface_.requestId_);
    call.keyText_ = net::headerValue(headers, header::idempotencyKey);
    call.keyCustomer_ = net::headerValue(headers, header::customer).substr(0, longestCustomer);
    call.customer_ = customerOf(call.keyCustomer_);
    call.deadline_ = deadlineOf(call, net::headerValue(headers, interface_.deadlineMs_));
    const auto token = contextTokenOf(headers);
    if (const auto *parent = contexts_.find(token); parent != nullptr) {
        call.contextToken_ = token;
        inheritFrom(call, *parent);
    } else {
        call.hasUnknownContext_ = !token.empty();
        const auto name = !call.requestId_.empty() ? call.requestId_
                          : call.keyText_.empty()  ? settings_.id_ + std::to_string(nextId_)
                                                   : call.keyText_;
        call.priority_ = admission::Priority::ofRoot(call.class_.rank_, name);
    }
    if (interface_.hasRoutes())
        addRouteTolerance(call, destination.maxAttempts_);
    else
        addTolerance(call);
    request.target_ = std::move(destination.target_);
    removeOwnFields(request.headers_, interface_);
    if (!interface_.callerService_.empty())
        request.headers_.push_back({interface_.callerService_, settings_.platform_->service_});
    call.request_ = std::move(request);
    return call;
}

void Entry::Impl::inheritFrom(CallInfo &call, const retry::RunningCall &parent) const
{
    call.customer_ = parent.customer_;
    call.priority_ = admission::Priority::unpack(static_cast<int>(parent.priority_)).forChild();
    call.deadline_ = std::min(call.deadline_, parent.deadline_);
    call.depth_ = parent.depth_ + 1;
}

void Entry::Impl::addTolerance(CallInfo &call) const
{
    if (isBaseline()) {
        call.isRetriedAtEachHop_ = true;
        call.budget_ = baselineRetries;
        call.retryRatio_ = 1;
        return;
    }
    const auto found = config_->retryTolerances_.find(call.class_.name_);
    if (found == config_->retryTolerances_.end())
        return;
    call.budget_ = found->second.budget_;
    call.retryRatio_ = found->second.ratio_;
}

void Entry::Impl::addRouteTolerance(CallInfo &call, std::uint32_t maxAttempts) const
{
    call.budget_ = maxAttempts - std::min(maxAttempts, 1U);
    call.retryRatio_ = settings_.platform_->retryBudgetRatio_ * shareOfRetryBudget;
}

std::string Entry::Impl::freshKey(const CallInfo &call)
{
    if (isDraining_ || call.isChild() || interface_.hasRoutes())
        return {};
    return home_->issueKey(call.keyCustomer_, call.service_, base::monotonicNow()).text();
}

void Entry::Impl::startIdempotent(EntryId id, CallInfo call)
{
    const auto started = idempotent_.start(
            std::move(call), [this, id](const once::Outcome &outcome, const CallReport &report) {
                finishWith(id, outcome, report);
            });
    cancels_[id] = [this, started] {
        idempotent_.cancel(started);
    };
}

// A daemon whose configuration differs may have taken the class for non-idempotent, so that an
// issued key is honoured whatever the class is here.
bool Entry::Impl::needsKey(const CallInfo &call) const
{
    if (isBaseline())
        return false;
    return !call.class_.idempotent_
           || (!interface_.hasRoutes() && once::isIssuedFor(call.keyText_, call.service_));
}

void Entry::Impl::startKeyed(EntryId id, CallInfo call, RequestSource source)
{
    // An issued key names the same request in every running call, so its home decides on it.
    if (call.isChild() && !once::isIssuedFor(call.keyText_, call.service_)) {
        auto text = call.keyText_;
        if (text.empty())
            text = "unnamed-" + std::to_string(nextOwnKey_++);
        const once::ContextKey key{call.contextToken_, text};
        startAtHome(id, std::move(call), key);
        return;
    }
    // A caller on a route names each of its attempts anew, so the key need not leave this daemon.
    if (interface_.hasRoutes()) {
        auto key = home_->issueKey(call.keyCustomer_, call.service_, call.receivedAt_);
        startAtHome(id, std::move(call), std::move(key));
        return;
    }
    if (call.keyText_.empty()) {
        finish(id, refusal(statusKeyNeeded, "key-needed", {}, freshKey(call)));
        return;
    }
    const auto decision = once::decideAtEntry(self_, call.keyText_, call.hasUnknownContext_);
    std::visit(base::Overloaded{
                       [&](const once::DecideHere &here) {
                           startAtHome(id, std::move(call), here.key_);
                       },
                       [&](const once::ForwardToHome &there) {
                           // A forwarded request whose key is not this process's own is not
                           // forwarded again: the home it names is gone.
                           if (source == RequestSource::Daemon)
                               finishWith(id, once::homeGaveNoAnswer());
                           else
                               forward(id, call, there.key_);
                       },
                       [&](const once::NotRun &why) { finishWith(id, why); },
                       [&](const once::Unknown &why) { finishWith(id, why); },
               },
               decision);
}

void Entry::Impl::startAtHome(EntryId id, CallInfo call,
                              const std::variant<once::Key, once::ContextKey> &key)
{
    const auto started =
            keyed_.start(std::move(call), key,
                         [this, id](const once::Outcome &outcome, const CallReport &report) {
                             finishWith(id, outcome, report);
                         });
    cancels_[id] = [this, started] {
        keyed_.cancel(started);
    };
}

void Entry::Impl::forward(EntryId id, const CallInfo &call, const once::Key &key)
{
    const auto *member = findMember(key.home_.id_);
    if (member == nullptr || member->generation_ != key.home_.generation_) {
        finishWith(id, once::homeGaveNoAnswer());
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
    cancels_[id] = [this, sent] {
        client_.cancel(sent);
    };
}

// The home has counted the request, so this daemon only passes its answer on.
void Entry::Impl::forwarded(EntryId id, net::CallResult result)
{
    if (result && !net::headerValue(result->headers_, header::outcome).empty())
        finish(id, std::move(*result));
    else
        finishWith(id, once::homeGaveNoAnswer());
}

void Entry::Impl::finishWith(EntryId id, const once::Outcome &outcome, const CallReport &report)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    const auto &call = found->second.call_;
    recorder_.finished(call, outcome, report, base::monotonicNow());
    logFailure(call, outcome, report);
    finish(id, callerAnswer(outcome, retryAfterForm(),
                            needsKey(call) ? freshKey(call) : std::string()));
}

/** Logs a request that has no answer of a backend server, within the bound of such lines. */
void Entry::Impl::logFailure(const CallInfo &call, const once::Outcome &outcome,
                             const CallReport &report)
{
    if (std::holds_alternative<once::Complete>(outcome))
        return;
    const auto now = base::monotonicNow();
    if (!failureLines_.take(now)) {
        ++droppedLines_;
        return;
    }
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    const auto reason =
            notRun != nullptr ? notRun->reason_ : std::get<once::Unknown>(outcome).reason_;
    std::string detail = "request=" + call.requestId_ + " class=" + call.class_.name_ + " service="
                         + call.service_ + " reason=" + std::string(once::reasonText(reason))
                         + " child=" + (call.isChild() ? "yes" : "no")
                         + " rank=" + std::to_string(call.class_.rank_)
                         + " attempts=" + std::to_string(report.attempts_)
                         + " age=" + std::to_string((now - call.receivedAt_).count()) + "ms";
    if (notRun != nullptr)
        detail += " retryAfter=" + std::to_string(notRun->retryAfter_.count()) + "ms";
    if (droppedLines_ > 0)
        detail += " dropped=" + std::to_string(std::exchange(droppedLines_, 0));
    events::log(notRun != nullptr ? events::requestNotRun : events::outcomeUnknown, detail);
}

void Entry::Impl::finish(EntryId id, net::HttpResponse response)
{
    cancels_.erase(id);
    auto node = open_.extract(id);
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

/** Ends a request that this daemon cannot serve; its key may have been used elsewhere. */
void Entry::Impl::finishUnserved(EntryId id, const net::HttpRequest &request,
                                 net::HttpResponse refused)
{
    const auto key = net::headerValue(request.headers_, header::idempotencyKey);
    const auto context = net::headerValue(request.headers_, header::context);
    if (!interface_.hasRoutes() && once::mayHaveRun(key, !context.empty()))
        refused = callerAnswer(once::homeGaveNoAnswer(), retryAfterForm());
    finish(id, std::move(refused));
}

EntryId Entry::receive(net::HttpRequest request, RequestSource source, Respond respond)
{
    const auto id = impl_->nextId_++;
    auto &open = impl_->open_[id];
    open.respond_ = std::move(respond);
    if (impl_->isClosed_) {
        impl_->finishUnserved(id, request,
                              refusal(statusUnavailable, "draining", retryWhenClosed, {},
                                      impl_->retryAfterForm()));
        return 0;
    }
    if (!impl_->config_) {
        impl_->finishUnserved(
                id, request, refusal(statusUnavailable, "no-configuration", retryWhenUnconfigured));
        return 0;
    }
    auto destination = impl_->destinationOf(request);
    if (!destination) {
        impl_->finishUnserved(id, request, refusal(statusNotFound, "unknown-service"));
        return 0;
    }
    auto call = impl_->describe(std::move(request), std::move(*destination));
    open.call_ = withoutContent(call);
    if (impl_->needsKey(call))
        impl_->startKeyed(id, std::move(call), source);
    else
        impl_->startIdempotent(id, std::move(call));
    return impl_->open_.contains(id) ? id : 0;
}

void Entry::cancel(EntryId id)
{
    impl_->open_.erase(id);
    if (auto node = impl_->cancels_.extract(id); !node.empty())
        node.mapped()();
}

std::vector<std::string> Entry::issueKeys(const std::string &customer, const std::string &service,
                                          std::size_t count)
{
    std::vector<std::string> keys;
    if (impl_->isDraining_)
        return keys;
    for (std::size_t i = 0; i < count; ++i)
        keys.push_back(impl_->home_
                               ->issueKey(customer.substr(0, longestCustomer), service,
                                          base::monotonicNow())
                               .text());
    return keys;
}

void Entry::contextEnded(const std::string &token)
{
    impl_->keyed_.contextEnded(token);
}

void Entry::contextCancelled(const std::string &token)
{
    std::vector<EntryId> children;
    for (const auto &[id, open] : impl_->open_) {
        if (open.call_.contextToken_ == token && !impl_->needsKey(open.call_))
            children.push_back(id);
    }
    for (const auto id : children) {
        if (auto node = impl_->cancels_.extract(id); !node.empty())
            node.mapped()();
        impl_->finishWith(id, once::Unknown{once::Reason::Cancelled});
    }
}

void Entry::configure(std::shared_ptr<const model::Config> config)
{
    impl_->recorder_.configure(*config);
    impl_->config_ = std::move(config);
}

void Entry::setMembers(Members members)
{
    impl_->members_ = std::move(members);
    impl_->memberById_.clear();
    for (const auto &member : *impl_->members_)
        impl_->memberById_[member.id_] = &member;
    impl_->routing_.handle(routing::MembersChanged{*impl_->members_}, base::monotonicNow());
}

void Entry::adopt(once::Incarnation self)
{
    impl_->self_ = self;
    impl_->keyed_.abandonAll();
    impl_->home_.emplace(std::move(self), Impl::homeSettings(impl_->settings_),
                         base::randomSecret());
}

void Entry::drain()
{
    impl_->isDraining_ = true;
}

void Entry::close()
{
    impl_->isClosed_ = true;
}

void Entry::prune()
{
    impl_->selector_.prune(base::monotonicNow());
}

std::size_t Entry::activeCount() const
{
    return impl_->open_.size();
}

const Recorder &Entry::recorder() const
{
    return impl_->recorder_;
}

} // namespace dock
