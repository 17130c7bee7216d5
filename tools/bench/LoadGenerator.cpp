#include <LoadGenerator.h>

#include <cmath>
#include <utility>

#include <AnswerClassifier.h>
#include <Protocol.h>
#include <base/Clock.h>
#include <bench/Echo.h>
#include <net/Reactor.h>

namespace bench {

namespace {

constexpr double microsPerSecond = 1e6;
constexpr base::Millis answerTimeoutMargin(100); // for answers sent at the deadline to arrive
constexpr std::uint32_t maxKeyRefreshes = 2;
constexpr int statusPreconditionRequired = 428;

net::HttpRequest requestFor(const RequestClass &requestClass, const std::string &id, bool direct)
{
    // Daemons expect the service as the first path segment and strip it.
    const std::string target =
            direct ? requestClass.path_ : "/" + requestClass.service_ + requestClass.path_;
    net::HttpRequest request{requestClass.method_, target, {}, ""};
    request.body_ = echoBody("body of " + id, requestClass.bodyBytes_);
    request.headers_ = {
            {std::string(echo::requestId), id},
            {std::string(echo::answerBytes), std::to_string(requestClass.answerBytes_)},
            {std::string(protocol::deadlineMs), std::to_string(requestClass.deadline_.count())},
    };
    if (!requestClass.customer_.empty()) {
        request.headers_.push_back({std::string(protocol::customer), requestClass.customer_});
    }
    if (!requestClass.idempotent_) {
        request.headers_.push_back({std::string(echo::atMostOnce), "1"});
    }
    return request;
}

} // namespace

LoadGenerator::LoadGenerator(net::Reactor &reactor, LoadOptions options, Finished onFinished)
    : reactor_(reactor)
    , options_(std::move(options))
    , onFinished_(std::move(onFinished))
    , random_(options_.seed_)
    , client_(reactor)
    , keys_(client_)
{}

void LoadGenerator::start()
{
    nextArrival_ = base::monotonicNow();
    scheduleArrival();
}

void LoadGenerator::stop()
{
    stopped_ = true;
}

void LoadGenerator::setRate(double rate)
{
    options_.requestsPerSecond_ = rate;
}

void LoadGenerator::setDaemons(std::vector<model::Address> daemons)
{
    options_.daemons_ = std::move(daemons);
}

const RequestClass &LoadGenerator::classOf(const Pending &pending) const
{
    return options_.mix_.classes_[pending.record_.classIndex_];
}

const model::Address &LoadGenerator::randomDaemon()
{
    return options_.daemons_[random_.below(options_.daemons_.size())];
}

void LoadGenerator::scheduleArrival()
{
    const double gap =
            -std::log(1.0 - random_.unit()) * microsPerSecond / options_.requestsPerSecond_;
    nextArrival_ = nextArrival_ + base::Millis::fromMicros(static_cast<std::int64_t>(gap));
    const base::Millis delay = nextArrival_ - base::monotonicNow();
    reactor_.schedule(std::max(delay, base::Millis(0)), [this] { onArrivalDue(); });
}

void LoadGenerator::onArrivalDue()
{
    if (stopped_) {
        return;
    }
    createRequest();
    scheduleArrival();
}

void LoadGenerator::createRequest()
{
    const std::uint64_t number = ++lastNumber_;
    Pending pending;
    pending.record_.classIndex_ = options_.mix_.pick(random_);
    pending.record_.id_ = std::to_string(options_.seed_) + "-" + std::to_string(number);
    pending.record_.arrivedAt_ = nextArrival_;
    pending.request_ = requestFor(classOf(pending), pending.record_.id_, options_.direct_);
    pending_.emplace(number, std::move(pending));
    attempt(number);
}

void LoadGenerator::attempt(std::uint64_t number)
{
    Pending &pending = pending_.at(number);
    const RequestClass &requestClass = classOf(pending);
    const model::Address daemon = randomDaemon();
    if (!requestClass.idempotent_ && pending.key_.empty()) {
        pending.key_ = keys_.take(requestClass, daemon).value_or("");
    }
    net::HttpRequest request = pending.request_;
    if (!pending.key_.empty()) {
        request.headers_.push_back({std::string(protocol::idempotencyKey), pending.key_});
    }
    ++pending.record_.attempts_;
    client_.send(daemon, std::move(request), requestClass.deadline_ + answerTimeoutMargin,
                 [this, number](const net::CallResult &result) { onAnswer(number, result); });
}

void LoadGenerator::onAnswer(std::uint64_t number, const net::CallResult &result)
{
    Pending &pending = pending_.at(number);
    storeNextKey(pending, result);
    if (result && result->status_ == statusPreconditionRequired
        && pending.keyRefreshes_ < maxKeyRefreshes) {
        ++pending.keyRefreshes_;
        --pending.record_.attempts_;
        pending.key_.clear();
        attempt(number);
        return;
    }
    const AnswerContext context{base::monotonicNow() - pending.record_.arrivedAt_,
                                classOf(pending).deadline_, options_.direct_};
    finishOrRetry(number, classifyAnswer(pending.request_, result, context));
}

void LoadGenerator::storeNextKey(const Pending &pending, const net::CallResult &result)
{
    if (!result) {
        return;
    }
    const auto key = net::headerValue(result->headers_, protocol::nextKey);
    if (!key.empty()) {
        keys_.add(classOf(pending), std::string(key));
    }
}

void LoadGenerator::finishOrRetry(std::uint64_t number, RequestOutcome outcome)
{
    Pending &pending = pending_.at(number);
    const bool retryable = outcome == RequestOutcome::NotRun || outcome == RequestOutcome::Unknown;
    if (retryable && pending.record_.attempts_ <= options_.retries_) {
        if (outcome == RequestOutcome::NotRun) {
            pending.key_.clear();
        }
        reactor_.schedule(options_.retryDelay_, [this, number] { attempt(number); });
        return;
    }
    pending.record_.outcome_ = outcome;
    pending.record_.endedAt_ = base::monotonicNow();
    const FinishedRequest finished = pending.record_;
    pending_.erase(number);
    onFinished_(finished);
}

} // namespace bench
