#include "RequestReader.h"

#include <algorithm>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <dock/AttemptCodec.h>
#include <dock/CallInterface.h>
#include <dock/Executor.h>
#include <dock/HeaderNames.h>
#include <follow/Options.h>
#include <identity/BearerKey.h>
#include <retry/ContextTable.h>
#include <settings/Settings.h>

namespace dock::details {

namespace {

constexpr std::uint64_t maxDeadlineMs = 600'000;
constexpr std::uint32_t baselineRetriesPerHop = 3;

/** Retries in the whole call chain of a routed request, regardless of its depth. */
constexpr std::uint32_t routeChainBudget = 16;

/** Customer of requests without one, or with one that is not in the configuration. */
const std::string defaultCustomer = "default";

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

/** Whether the Connection field lists the name, which makes it hop-by-hop. */
bool isConnectionOption(std::string_view connection, const std::string &name)
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

/** Only the platform's log gives evidence that a configuration is the newest. */
identity::Limits identityLimits(const settings::Settings &settings)
{
    if (!settings.platform_)
        return {};
    return identity::Limits::of(settings.customers_.revocationTime_, follow::Options().inTouchAge_);
}

/** Removes hop-by-hop fields and fields that only daemons set. */
void removeReservedFields(net::Headers &headers, const CallInterface &interface, bool hasKeys)
{
    const std::string connection(net::headerValue(headers, "connection"));
    for (auto &field : headers)
        field.name_ = lowerCase(field.name_);
    std::erase_if(headers, [&](const net::Header &field) {
        const auto &name = field.name_;
        if (name == "host")
            return !interface.hasRoutes();
        return isHopByHop(name) || name.starts_with(header::peerPrefix)
               || name == interface.deadlineMsField_ || name == interface.contextField_
               || name == interface.callerServiceField_ || name == interface.expectedInstanceField_
               || (hasKeys && (name == interface.keyField_ || name == interface.customerField_))
               || isConnectionOption(connection, name);
    });
}

} // namespace

RequestReader::RequestReader(const settings::Settings &settings, const CallInterface &interface,
                             const Executor &executor, const retry::ContextTable &contexts,
                             std::uint64_t seed)
    : settings_(settings)
    , interface_(interface)
    , executor_(executor)
    , contexts_(contexts)
    , random_(seed)
    , identity_(identityLimits(settings))
{}

void RequestReader::configure(std::shared_ptr<const model::Config> config)
{
    config_ = std::move(config);
    identity_.configure(config_);
    ranks_ = identity::PriorityRanks(*config_);
}

bool RequestReader::isConfigCurrent() const
{
    return identity_.isCurrent(base::elapsedNow());
}

base::Millis RequestReader::evidenceAge() const
{
    return identity_.evidenceAge(base::elapsedNow());
}

std::string RequestReader::customerOf(const std::string &name) const
{
    // Callers can invent names, so only customers in the configuration are distinguished.
    return config_->customers_.contains(name) ? name : defaultCustomer;
}

/** Sets the customer; if access keys are required, by the key or the call that it belongs to. */
void RequestReader::identifyCustomer(CallInfo &call, const net::Headers &headers,
                                     RequestSource source, const retry::RunningCall *parent) const
{
    // A daemon that forwards a request has checked the key, and names the customer.
    if (!identity_.isActive() || source == RequestSource::Daemon) {
        call.keyCustomer_ = net::headerValue(headers, header::customer).substr(0, maxCustomerBytes);
        call.customer_ = customerOf(call.keyCustomer_);
        return;
    }
    const identity::Request request{
            .key_ = identity::bearerKey(net::headerValue(headers, interface_.keyField_)),
            .isPublic_ = call.class_.isPublic_,
            .isChild_ = parent != nullptr};
    applyDecision(call, identity_.decide(request, base::elapsedNow()));
    if (parent != nullptr && call.keyCustomer_.empty() && parent->customer_ != defaultCustomer)
        call.keyCustomer_ = parent->customer_;
    call.customer_ = call.keyCustomer_.empty() ? defaultCustomer : call.keyCustomer_;
}

void RequestReader::applyDecision(CallInfo &call, const identity::Decision &decision) const
{
    std::visit(base::Overloaded{
                       [&call](const identity::Admitted &admitted) {
                           if (admitted.customer_ != nullptr)
                               call.keyCustomer_ = admitted.customer_->name_;
                       },
                       [&call](const identity::Unauthorized &) {
                           call.denial_ = once::NotRun{once::Reason::UnknownKey, {}};
                       },
                       [&call](const identity::Unconfirmed &unconfirmed) {
                           call.denial_ =
                                   once::NotRun{once::Reason::Unconfirmed, unconfirmed.retryAfter_};
                       },
               },
               decision);
}

/** Rank of a root request: by its customer, if customers have ranks, and its class. */
int RequestReader::rankOf(const CallInfo &call) const
{
    if (!ranks_.dependOnCustomers())
        return call.class_.rank_;
    const auto customer = config_->customers_.find(call.customer_);
    const bool isKnown = customer != config_->customers_.end();
    return ranks_.rankOf(isKnown ? &customer->second : nullptr, call.class_.rank_);
}

std::optional<RequestReader::Destination>
RequestReader::destinationOf(const net::HttpRequest &request)
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
    return Destination{std::string(route->selectService(random_.unit())), request.target_,
                       route->class_, route->maxAttempts_};
}

/** Deadline of the request on this daemon's clock. */
base::Millis RequestReader::deadlineOf(const CallInfo &call, std::string_view requested) const
{
    const auto classDeadlineMs = static_cast<std::uint64_t>(call.class_.deadline_.count());
    auto timeMs = std::min(numberOr(requested, classDeadlineMs), maxDeadlineMs);
    // On a route, the configured deadline is an upper bound.
    if (interface_.hasRoutes())
        timeMs = std::min(timeMs, classDeadlineMs);
    return call.receivedAt_ + base::Millis(static_cast<std::int64_t>(timeMs));
}

/** Token of the parent call, from the context field or the request id; may be empty. */
std::string RequestReader::contextTokenOf(const net::Headers &headers) const
{
    if (!interface_.requestIdSeparator_)
        return std::string(net::headerValue(headers, interface_.contextField_));
    const auto id = net::headerValue(headers, interface_.requestIdField_);
    const auto separator = id.rfind(*interface_.requestIdSeparator_);
    return separator == std::string_view::npos ? std::string()
                                               : executor_.contextOf(id.substr(0, separator));
}

std::optional<CallInfo> RequestReader::read(net::HttpRequest &request, RequestSource source,
                                            std::string fallbackId)
{
    auto found = destinationOf(request);
    if (!found)
        return std::nullopt;
    auto &destination = *found;
    CallInfo call;
    const auto &headers = request.headers_;
    call.receivedAt_ = base::monotonicNow();
    call.service_ = std::move(destination.service_);
    call.class_ = std::move(destination.class_);
    call.requestId_ = net::headerValue(headers, interface_.requestIdField_);
    call.idempotencyKey_ = net::headerValue(headers, header::idempotencyKey);
    call.deadline_ = deadlineOf(call, net::headerValue(headers, interface_.deadlineMsField_));
    const auto token = contextTokenOf(headers);
    const auto *parent = contexts_.find(token);
    identifyCustomer(call, headers, source, parent);
    if (parent != nullptr) {
        call.contextToken_ = token;
        inheritFrom(call, *parent);
    } else {
        call.hasUnknownContext_ = !token.empty();
        if (!call.requestId_.empty())
            fallbackId = call.requestId_;
        else if (!call.idempotencyKey_.empty())
            fallbackId = call.idempotencyKey_;
        call.priority_ = admission::Priority::ofRoot(rankOf(call), fallbackId);
    }
    if (interface_.hasRoutes())
        applyRouteRetryLimits(call, destination.maxAttempts_);
    else
        applyRetryTolerance(call);
    request.target_ = std::move(destination.target_);
    call.request_ = std::move(request);
    replaceReservedFields(call);
    return call;
}

/** The customer field goes with the request, so that it is the same on every path. */
void RequestReader::replaceReservedFields(CallInfo &call) const
{
    auto &headers = call.request_.headers_;
    removeReservedFields(headers, interface_, identity_.isActive());
    if (identity_.isActive() && !call.keyCustomer_.empty())
        headers.push_back({interface_.customerField_, call.keyCustomer_});
    if (!interface_.callerServiceField_.empty())
        headers.push_back({interface_.callerServiceField_, settings_.platform_->service_});
}

bool RequestReader::mustRunOnce(const CallInfo &call) const
{
    const auto &request = call.request_;
    if (!interface_.hasRoutes())
        return !config_->classify(call.service_, request.method_, pathOf(request.target_))
                        .idempotent_;
    const auto *route = config_->route(hostOf(request.headers_), pathOf(request.target_));
    return route != nullptr && !route->class_.idempotent_;
}

void RequestReader::inheritFrom(CallInfo &call, const retry::RunningCall &parent) const
{
    if (!identity_.isActive())
        call.customer_ = parent.customer_;
    call.priority_ = admission::Priority::unpack(static_cast<int>(parent.priority_)).forChild();
    call.deadline_ = std::min(call.deadline_, parent.deadline_);
    call.depth_ = parent.depth_ + 1;
    if (parent.isRepeat_)
        call.repeat_ = retry::RepeatKind::OfRepeatedRun;
}

void RequestReader::applyRetryTolerance(CallInfo &call) const
{
    if (settings_.mode_ == settings::Mode::Baseline) {
        call.isRetriedAtEachHop_ = true;
        call.budget_ = baselineRetriesPerHop;
        call.retryRatio_ = 1;
        return;
    }
    const auto found = config_->retryTolerances_.find(call.class_.name_);
    if (found == config_->retryTolerances_.end())
        return;
    call.budget_ = found->second.budget_;
    call.retryRatio_ = found->second.ratio_;
}

void RequestReader::applyRouteRetryLimits(CallInfo &call, std::uint32_t maxAttempts) const
{
    call.budget_ = routeChainBudget;
    call.maxRetries_ = maxAttempts - std::min(maxAttempts, 1U);
}

} // namespace dock::details
