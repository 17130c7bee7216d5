#include <BackendServer.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include <Json.h>
#include <Protocol.h>
#include <base/Clock.h>
#include <bench/Echo.h>
#include <bench/TraceLine.h>

namespace bench {

namespace {

constexpr base::Millis idleCheckInterval(100);
constexpr base::Millis minDrainTime(3000); // daemons may still send requests for this long
// Keeps /stats, /runs and /faults reachable under overload.
constexpr std::uint32_t reservedControlConnections = 16;
constexpr std::int64_t defaultDeadlineMs = 10'000;

base::Millis deadlineOf(const net::HttpRequest &request)
{
    const auto text = net::headerValue(request.headers_, protocol::deadlineMs);
    std::int64_t remaining = defaultDeadlineMs;
    std::from_chars(text.data(), text.data() + text.size(), remaining);
    return base::monotonicNow() + base::Millis(remaining);
}

std::string header(const net::HttpRequest &request, std::string_view name)
{
    return std::string(net::headerValue(request.headers_, name));
}

net::HttpResponse outcomeResponse(int status, std::string_view outcome, const char *reason)
{
    return {status, {{std::string(protocol::outcome), std::string(outcome)}}, reason};
}

bool isControl(const std::string &target)
{
    return target == "/stats" || target == "/runs" || target == "/faults" || target == "/health";
}

} // namespace

base::Result<std::unique_ptr<BackendServer>> BackendServer::start(net::Reactor &reactor,
                                                                  BackendOptions options)
{
    std::unique_ptr<BackendServer> backend(new BackendServer(reactor, std::move(options)));
    BackendServer *self = backend.get();
    const net::HttpServerOptions listen{.listen_ = self->options_.listen_,
                                        .maxConnections_ = self->options_.connections_
                                                           + reservedControlConnections};
    auto server = net::HttpServer::start(
            reactor, listen,
            [self](net::ExchangeId id, net::HttpRequest request) {
                self->handle(id, std::move(request));
            },
            [self](net::ExchangeId id) { self->onCallerDisconnected(id); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    backend->server_ = std::move(*server);
    backend->registration_ = std::make_unique<BackendRegistration>(
            reactor, self->options_, self->server_->port(), [self] { return self->status(); });
    backend->registration_->start();
    return backend;
}

BackendServer::BackendServer(net::Reactor &reactor, BackendOptions options)
    : reactor_(reactor)
    , options_(std::move(options))
    , random_(options_.seed_)
    , startedAt_(base::monotonicNow())
    , client_(reactor)
{}

void BackendServer::drain()
{
    if (deregisteredAt_ != base::Millis::max()) {
        return;
    }
    deregisteredAt_ = base::monotonicNow();
    registration_->deregister();
    reactor_.schedule(minDrainTime, [this] { stopWhenIdle(); });
}

void BackendServer::stopWhenIdle()
{
    if (running_.empty() && waiting_.empty()) {
        reactor_.stop();
        return;
    }
    reactor_.schedule(idleCheckInterval, [this] { stopWhenIdle(); });
}

void BackendServer::handle(net::ExchangeId id, net::HttpRequest request)
{
    if (isControl(request.target_)) {
        handleControl(id, request);
    } else {
        accept(id, std::move(request));
    }
}

void BackendServer::handleControl(net::ExchangeId id, const net::HttpRequest &request)
{
    if (request.target_ == "/stats") {
        server_->respond(id, stats());
    } else if (request.target_ == "/runs") {
        server_->respond(id, jsonResponse(200, runCounter_.json()));
    } else if (request.target_ == "/health") {
        server_->respond(id, jsonResponse(200, {{"healthy", status().healthy_}}));
    } else {
        server_->respond(id, changeFaults(request.body_));
    }
}

void BackendServer::accept(net::ExchangeId id, net::HttpRequest request)
{
    ++counters_.received_;
    if (deregisteredAt_ != base::Millis::max()) {
        counters_.lastRequestAfterDeregistration_ = base::monotonicNow() - deregisteredAt_;
    }
    const base::Millis deadlineAt = deadlineOf(request);
    Work work{std::move(request), deadlineAt, counters_.received_};
    if (!faults_.rejectAll_ && running_.size() < options_.slots_) {
        startProcessing(id, std::move(work));
    } else if (!faults_.rejectAll_ && waiting_.size() < options_.queueLimit_) {
        waiting_.emplace_back(id, std::move(work));
    } else {
        ++counters_.shed_;
        server_->respond(id, outcomeResponse(503, protocol::notRun, "overloaded"));
    }
}

void BackendServer::startProcessing(net::ExchangeId id, Work work)
{
    if (work.deadlineAt_ <= base::monotonicNow()) {
        ++counters_.late_;
        server_->respond(id,
                         outcomeResponse(503, protocol::notRun, "delivered after the deadline"));
        return;
    }
    running_.emplace(id, std::move(work));
    sendNextCall(id);
}

void BackendServer::sendNextCall(net::ExchangeId id)
{
    Work &work = running_.at(id);
    while (work.nextCall_ < options_.calls_.size()) {
        const CallSpec &call = options_.calls_[work.nextCall_++];
        if (call.appliesTo(work.request_.target_)) {
            sendCall(id, call);
            return;
        }
    }
    this->startServiceTime(id);
}

void BackendServer::sendCall(net::ExchangeId id, const CallSpec &call)
{
    Work &work = running_.at(id);
    const base::Millis remaining = work.deadlineAt_ - base::monotonicNow();
    if (remaining < base::Millis(1) || !options_.daemon_) {
        ++counters_.late_;
        finish(id, work.hasEffect_ ? outcomeResponse(500, protocol::complete, "no time for a call")
                                   : outcomeResponse(503, protocol::notRun, "no time for a call"));
        return;
    }
    const std::string callId =
            header(work.request_, echo::requestId) + "." + std::to_string(work.nextCall_);
    net::HttpRequest request{call.method_, "/" + call.service_ + call.path_, {}, ""};
    for (const std::string_view name :
         {protocol::context, protocol::customer, echo::serviceTimes}) {
        if (std::string value = header(work.request_, name); !value.empty()) {
            request.headers_.push_back({std::string(name), std::move(value)});
        }
    }
    request.headers_.push_back(
            {std::string(protocol::deadlineMs), std::to_string(remaining.count())});
    request.headers_.push_back({std::string(echo::requestId), callId});
    if (call.atMostOnce_) {
        request.headers_.push_back({std::string(protocol::idempotencyKey), callKey(work)});
        request.headers_.push_back({std::string(echo::atMostOnce), "1"});
    }
    work.call_ = client_.send(*options_.daemon_, request, remaining,
                              [this, id, call, request](const net::CallResult &result) {
                                  onCallDone(id, call, request, result);
                              });
}

std::string BackendServer::callKey(const Work &work) const
{
    // A request without a key is idempotent: each of its runs makes calls with new keys.
    const std::string requestKey = header(work.request_, protocol::idempotencyKey);
    const std::string prefix =
            requestKey.empty() ? options_.listen_.text() + "-" + std::to_string(work.number_)
                               : requestKey;
    return prefix + "." + std::to_string(work.nextCall_);
}

void BackendServer::onCallDone(net::ExchangeId id, const CallSpec &call,
                               const net::HttpRequest &sent, const net::CallResult &result)
{
    Work &work = running_.at(id);
    work.call_ = 0;
    const bool notSent = !result && result.error().kind_ == net::FailureKind::NotSent;
    const std::string_view outcome =
            result ? net::headerValue(result->headers_, protocol::outcome) : "";
    if (result && outcome == protocol::complete && isEchoOf(sent, *result)) {
        work.hasEffect_ = work.hasEffect_ || call.atMostOnce_;
        sendNextCall(id);
    } else if (!notSent && outcome != protocol::notRun) {
        finish(id, outcomeResponse(504, protocol::unknown, "a call may have run"));
    } else if (work.hasEffect_) {
        finish(id, outcomeResponse(500, protocol::complete,
                                   "a call did not run after another one ran"));
    } else {
        finish(id, outcomeResponse(503, protocol::notRun, "a call did not run"));
    }
}

void BackendServer::startServiceTime(net::ExchangeId id)
{
    Work &work = running_.at(id);
    ++counters_.runs_;
    work.hasEffect_ = true;
    if (!header(work.request_, echo::atMostOnce).empty()) {
        runCounter_.add(header(work.request_, echo::requestId),
                        header(work.request_, protocol::idempotencyKey));
    }
    work.timer_ = reactor_.schedule(scaledServiceTime(work), [this, id] {
        finish(id, echoAnswer(running_.at(id).request_));
    });
}

void BackendServer::finish(net::ExchangeId id, net::HttpResponse response)
{
    if (running_.at(id).hasEffect_ && faults_.loseAnswers_ > 0) {
        --faults_.loseAnswers_;
    } else {
        server_->respond(id, std::move(response));
    }
    release(id);
}

void BackendServer::release(net::ExchangeId id)
{
    running_.erase(id);
    while (running_.size() < options_.slots_ && !waiting_.empty()) {
        auto [next, work] = std::move(waiting_.front());
        waiting_.pop_front();
        startProcessing(next, std::move(work));
    }
}

void BackendServer::onCallerDisconnected(net::ExchangeId id)
{
    ++counters_.aborted_;
    std::erase_if(waiting_, [id](const auto &entry) { return entry.first == id; });
    const auto found = running_.find(id);
    if (found == running_.end() || options_.finishAbandoned_) {
        return;
    }
    client_.cancel(found->second.call_);
    reactor_.cancel(found->second.timer_);
    release(id);
}

base::Millis BackendServer::scaledServiceTime(const Work &work)
{
    const double queuedSlotSets = static_cast<double>(waiting_.size()) / options_.slots_;
    double factor = faults_.slowFactor_ * (1.0 + options_.contentionFactor_ * queuedSlotSets);
    if (const base::Millis age = base::monotonicNow() - startedAt_; age < options_.warmUpTime_) {
        const double warmUpFraction = age.fractional() / options_.warmUpTime_.fractional();
        factor *= options_.coldStartFactor_ + (1.0 - options_.coldStartFactor_) * warmUpFraction;
    }
    const auto recorded = parseServiceTimes(header(work.request_, echo::serviceTimes));
    const bool isRecorded = recorded && recorded->contains(options_.service_);
    const base::Millis time =
            isRecorded ? recorded->at(options_.service_) : options_.serviceTime_.sample(random_);
    const auto micros = static_cast<double>(time.micros());
    return base::Millis::fromMicros(static_cast<std::int64_t>(micros * factor));
}

BackendStatus BackendServer::status() const
{
    const double busy = static_cast<double>(running_.size() + waiting_.size()) / options_.slots_;
    const bool isDeregistered = deregisteredAt_ != base::Millis::max();
    return {faults_.loadOverride_.value_or(std::min(busy, 1.0)),
            faults_.healthOverride_.value_or(!isDeregistered)};
}

net::HttpResponse BackendServer::changeFaults(const std::string &body)
{
    const auto changed = faults_.updatedFrom(parseJson(body));
    if (!changed) {
        return jsonResponse(400, {{"error", changed.error().message_}});
    }
    faults_ = *changed;
    return jsonResponse(200, nlohmann::json::object());
}

net::HttpResponse BackendServer::stats() const
{
    return jsonResponse(
            200, {{"service", options_.service_},
                  {"received", counters_.received_},
                  {"runs", counters_.runs_},
                  {"repeatedRequests", runCounter_.repeatedRequests()},
                  {"repeatedKeys", runCounter_.repeatedKeys()},
                  {"running", running_.size()},
                  {"waiting", waiting_.size()},
                  {"shed", counters_.shed_},
                  {"late", counters_.late_},
                  {"aborted", counters_.aborted_},
                  {"lastWorkAfterLeaveMs", counters_.lastRequestAfterDeregistration_.count()}});
}

} // namespace bench
