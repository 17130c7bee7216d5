#include <base/Clock.h>
#include <dock/CallInterface.h>

#include "ThreeDaemons.h"

using namespace dock::testing;
using model::ServingState;

namespace {

dock::CallInterface routedInterface()
{
    return {.addressing_ = dock::CallInterface::Addressing::Routes,
            .deadlineMsField_ = "t-deadline",
            .contextField_ = "",
            .requestIdField_ = "t-request",
            .requestIdSeparator_ = '.',
            .callerServiceField_ = "t-caller",
            .expectedInstanceField_ = "t-expected",
            .notExecutedField_ = "t-not-executed",
            .signatureField_ = "t-signature",
            .hasFractionalRetryAfter_ = true,
            .lostAnswerStatus_ = 502};
}

model::Route route(const std::string &name, const std::string &prefix, bool isIdempotent)
{
    return {.class_ = {.name_ = name,
                       .pathPrefix_ = prefix,
                       .rank_ = 1,
                       .idempotent_ = isIdempotent,
                       .deadline_ = base::Millis(2000)},
            .services_ = {{"wallet", 1}},
            .maxAttempts_ = 2};
}

std::shared_ptr<const model::Config> routedConfig()
{
    auto config = std::make_shared<model::Config>();
    config->revision_ = 1;
    config->routes_["a.example"]["/read/"] = route("read", "/read/", true);
    config->routes_["a.example"]["/write/"] = route("write", "/write/", false);
    return config;
}

/** Complete answer of a backend server that conforms to the interface. */
HttpResponse conformingAnswer(const HttpRequest &request, int status = 200)
{
    return {.status_ = status,
            .headers_ = {{"T-Request",
                          std::string(net::headerValue(request.headers_, "t-request"))},
                         {"T-Signature", "s"}},
            .body_ = "whole"};
}

/** An entry daemon and two instances, with an interface like that of the platform. */
class RoutedPath : public ::testing::Test
{
protected:
    struct Instance
    {
        std::unique_ptr<FakeBackend> backend_;
        std::unique_ptr<Dock> dock_;
    };

    void serve(FakeBackend::Behaviour first, FakeBackend::Behaviour second)
    {
        first_.backend_ = std::make_unique<FakeBackend>(backendLoop_, std::move(first));
        second_.backend_ = std::make_unique<FakeBackend>(backendLoop_, std::move(second));
        auto members = std::make_shared<std::vector<model::Member>>();
        members->push_back(entry_->member("", 0, ServingState::Absent));
        members->push_back(first_.dock_->member("wallet", slots));
        members->push_back(second_.dock_->member("wallet", slots));
        for (auto *dock : {entry_.get(), first_.dock_.get(), second_.dock_.get()}) {
            dock->task_->deliver(dock::ConfigUpdated{routedConfig()});
            dock->task_->deliver(dock::MembersUpdated{members});
        }
        announce(first_);
        announce(second_);
    }

    void serve(const FakeBackend::Behaviour &behaviour) { serve(behaviour, behaviour); }

    static void announce(const Instance &instance)
    {
        instance.dock_->task_->deliver(
                dock::BackendAnnounced{{.service_ = "wallet",
                                        .address_ = {"127.0.0.1", instance.backend_->port()},
                                        .instanceId_ = "i-" + instance.dock_->settings_.id_,
                                        .slots_ = slots}});
    }

    HttpResponse call(const std::string &method, const std::string &target,
                      net::Headers headers = {})
    {
        headers.push_back({"Host", "A.example:80"});
        headers.push_back({"T-Request", "r-" + std::to_string(++requests_)});
        return caller_.call(entry_->address(),
                            {.method_ = method, .target_ = target, .headers_ = headers});
    }

    int runs() const { return first_.backend_->runs() + second_.backend_->runs(); }

    Loop backendLoop_;
    Loop callerLoop_;
    Caller caller_{callerLoop_};
    std::unique_ptr<Dock> entry_ =
            std::make_unique<Dock>(callerLoop_, "entry", 1, routedInterface());
    Instance first_{nullptr, std::make_unique<Dock>(callerLoop_, "first", 1, routedInterface())};
    Instance second_{nullptr, std::make_unique<Dock>(callerLoop_, "second", 1, routedInterface())};
    int requests_ = 0;
};

} // namespace

TEST_F(RoutedPath, forwardsRequestAndReplacesDaemonFields)
{
    HttpRequest received;
    serve([&received](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        received = request;
        server.respond(id, conformingAnswer(request));
    });
    const auto answer = call("GET", "/read/a%20b?x=&y",
                             {{"T-Deadline", "1500"},
                              {"T-Caller", "forged"},
                              {"T-Expected", "forged"},
                              {"X-Note", "kept"},
                              {"X-Hop", "removed"},
                              {"Connection", "keep-alive, X-Hop"}});
    ASSERT_EQ(answer.status_, 200) << answer.body_;
    EXPECT_EQ(answer.body_, "whole");
    EXPECT_EQ(headerOf(answer, "T-Signature"), "s");
    EXPECT_EQ(received.target_, "/read/a%20b?x=&y");
    const auto field = [&received](const char *name) {
        return std::string(net::headerValue(received.headers_, name));
    };
    EXPECT_EQ(field("t-caller"), "home");
    EXPECT_TRUE(field("t-expected") == "i-first" || field("t-expected") == "i-second");
    EXPECT_EQ(field("host"), "A.example:80");
    EXPECT_EQ(field("x-note"), "kept");
    EXPECT_EQ(field("x-hop"), "");
    const auto left = std::stoi(field("t-deadline"));
    EXPECT_GT(left, 0);
    EXPECT_LE(left, 1500);
}

TEST_F(RoutedPath, contentCodingIsHandedOnIfAccepted)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        auto answer = conformingAnswer(request);
        answer.headers_.push_back({"Content-Encoding", "t-coding"});
        server.respond(id, answer);
    });
    const auto answer = call("GET", "/read/1");
    EXPECT_EQ(answer.status_, 200);
    EXPECT_EQ(net::headerValue(answer.headers_, "content-encoding"), "t-coding");
}

TEST_F(RoutedPath, noRouteIsNotFound)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request));
    });
    EXPECT_EQ(call("GET", "/other/1").status_, 404);
    EXPECT_EQ(runs(), 0);
}

TEST_F(RoutedPath, backendRefusalIsRetriedOnAnotherInstance)
{
    std::atomic<int> refusals = 0;
    serve([&refusals](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        if (refusals++ == 0)
            server.respond(id, {.status_ = 503, .headers_ = {{"T-Not-Executed", "1"}}});
        else
            server.respond(id, conformingAnswer(request));
    });
    EXPECT_EQ(call("POST", "/write/1").status_, 200);
    EXPECT_EQ(runs(), 2);
}

// A route with two attempts has one retry; half of it, rounded down, is passed to child calls.
TEST_F(RoutedPath, refusedChildCallIsRetriedOnAnotherInstance)
{
    std::atomic<int> refusals = 0;
    std::future<net::CallResult> inner;
    serve([&](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        const std::string requestId(net::headerValue(request.headers_, "t-request"));
        if (requestId.find('.') != std::string::npos) {
            if (refusals++ == 0)
                server.respond(id, {.status_ = 503, .headers_ = {{"T-Not-Executed", "1"}}});
            else
                server.respond(id, conformingAnswer(request));
            return;
        }
        auto &instance =
                net::headerValue(request.headers_, "t-expected") == "i-first" ? first_ : second_;
        inner = caller_.start(
                instance.dock_->address(),
                {.method_ = "GET",
                 .target_ = "/read/1",
                 .headers_ = {{"Host", "a.example"}, {"T-Request", requestId + ".1"}}});
    });
    auto outer = caller_.start(entry_->address(),
                               {.method_ = "GET",
                                .target_ = "/read/1",
                                .headers_ = {{"Host", "a.example"}, {"T-Request", "root"}}},
                               base::Millis(1000));
    while (refusals < 2)
        std::this_thread::yield();
    EXPECT_EQ(inner.get()->status_, 200);
    EXPECT_FALSE(outer.get());
}

// The backend server refuses all calls; the requests that make them fail after work was done.
TEST_F(RoutedPath, rootIsNotStartedWhileItsCallsGetNoRepeats)
{
    using Inner = std::shared_ptr<std::future<net::CallResult>>;
    std::function<void(net::HttpServer &, net::ExchangeId, HttpRequest, Inner)> respondAfter =
            [&](net::HttpServer &server, net::ExchangeId id, HttpRequest request, Inner inner) {
                backendLoop_.reactor_.schedule(base::Millis(1), [&, id, request, inner] {
                    if (inner->wait_for(std::chrono::seconds(0)) == std::future_status::ready)
                        server.respond(id, conformingAnswer(request, 500));
                    else
                        respondAfter(server, id, request, inner);
                });
            };
    serve([&](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        const std::string requestId(net::headerValue(request.headers_, "t-request"));
        if (requestId.find('.') != std::string::npos) {
            server.respond(id, {.status_ = 503, .headers_ = {{"T-Not-Executed", "1"}}});
            return;
        }
        auto &instance =
                net::headerValue(request.headers_, "t-expected") == "i-first" ? first_ : second_;
        respondAfter(
                server, id, request,
                std::make_shared<std::future<net::CallResult>>(caller_.start(
                        instance.dock_->address(),
                        {.method_ = "GET",
                         .target_ = "/read/1",
                         .headers_ = {{"Host", "a.example"}, {"T-Request", requestId + ".1"}}})));
    });
    constexpr int maxRequests = 500;
    int runsBefore = 0;
    auto answer = HttpResponse{.status_ = 500};
    for (int i = 0; i < maxRequests && answer.status_ == 500; ++i) {
        runsBefore = runs();
        answer = call("POST", "/write/1");
    }
    EXPECT_EQ(answer.status_, 503);
    EXPECT_EQ(headerOf(answer, "Fuchsiadock-Reason"), "repeat-limit");
    EXPECT_EQ(runs(), runsBefore);
    const auto retryAfter = std::stod(std::string(headerOf(answer, "Retry-After")));
    EXPECT_GT(retryAfter, 0);
    EXPECT_LE(retryAfter, 1.25);
}

TEST_F(RoutedPath, misdirectedRequestIsNotRun)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.status_ = 421, .headers_ = {{"X-Other", "i-9"}}});
    });
    const auto answer = call("POST", "/write/1");
    EXPECT_EQ(answer.status_, 503);
    EXPECT_NE(headerOf(answer, "Retry-After").find('.'), std::string::npos);
}

TEST_F(RoutedPath, answerWithAnotherRequestIdIsDiscarded)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        auto answer = conformingAnswer(request);
        answer.headers_[0].value_ = "r-0";
        server.respond(id, std::move(answer));
    });
    const auto answer = call("POST", "/write/1");
    EXPECT_EQ(answer.status_, 504);
    EXPECT_EQ(headerOf(answer, "T-Signature"), "");
    EXPECT_EQ(runs(), 1);
}

TEST_F(RoutedPath, successWithoutSignatureIsDiscarded)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        auto answer = conformingAnswer(request);
        answer.headers_.pop_back();
        server.respond(id, std::move(answer));
    });
    EXPECT_EQ(call("POST", "/write/1").status_, 502);
}

TEST_F(RoutedPath, serverErrorIsForwardedUnchanged)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request, 500));
    });
    const auto answer = call("GET", "/read/1");
    EXPECT_EQ(answer.status_, 500);
    EXPECT_EQ(headerOf(answer, "T-Signature"), "s");
    EXPECT_EQ(runs(), 2); // the route allows one retry
}

TEST_F(RoutedPath, failedIdempotentRequestIsRetriedOnAnotherInstance)
{
    std::atomic<int> served = 0;
    serve([&served](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request, served++ == 0 ? 500 : 200));
    });
    EXPECT_EQ(call("GET", "/read/1").status_, 200);
    EXPECT_EQ(first_.backend_->runs(), 1);
    EXPECT_EQ(second_.backend_->runs(), 1);
}

// If the retry is not run, the caller receives the answer of the first attempt.
TEST_F(RoutedPath, serverErrorIsForwardedIfTheRetryIsNotRun)
{
    std::atomic<int> served = 0;
    serve([&served](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        if (served++ == 0)
            server.respond(id, conformingAnswer(request, 500));
        else
            server.respond(id, {.status_ = 503, .headers_ = {{"T-Not-Executed", "1"}}});
    });
    const auto answer = call("GET", "/read/1");
    EXPECT_EQ(answer.status_, 500);
    EXPECT_EQ(headerOf(answer, "T-Signature"), "s");
}

TEST_F(RoutedPath, failedNonIdempotentRequestIsNotRetried)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request, 500));
    });
    EXPECT_EQ(call("POST", "/write/1").status_, 500);
    EXPECT_EQ(runs(), 1);
}

TEST_F(RoutedPath, duplicateRequestRunsOnce)
{
    serve([this](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        backendLoop_.reactor_.schedule(base::Millis(100), [&server, id, request] {
            server.respond(id, conformingAnswer(request));
        });
    });
    const HttpRequest request{.method_ = "POST",
                              .target_ = "/write/1",
                              .headers_ = {{"Host", "a.example"}, {"T-Request", "same"}}};
    auto first = caller_.start(entry_->address(), request);
    auto second = caller_.start(entry_->address(), request);
    EXPECT_EQ(first.get()->status_, 200);
    EXPECT_EQ(second.get()->status_, 200);
    EXPECT_EQ(caller_.call(entry_->address(), request).status_, 200);
    EXPECT_EQ(runs(), 1);
}

TEST_F(RoutedPath, refusedRequestIsNotRunWhenRepeated)
{
    std::atomic<bool> isRefusing = true;
    serve([&isRefusing](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        if (isRefusing)
            server.respond(id, {.status_ = 503, .headers_ = {{"T-Not-Executed", "1"}}});
        else
            server.respond(id, conformingAnswer(request));
    });
    const HttpRequest request{.method_ = "POST",
                              .target_ = "/write/1",
                              .headers_ = {{"Host", "a.example"}, {"T-Request", "same"}}};
    EXPECT_EQ(caller_.call(entry_->address(), request).status_, 503);
    isRefusing = false;
    const auto before = runs();
    EXPECT_EQ(caller_.call(entry_->address(), request).status_, 503);
    EXPECT_EQ(runs(), before);
    EXPECT_EQ(call("POST", "/write/1").status_, 200);
}

// This field of Fuchsiadock's own interface may come from a call that the backend server made.
TEST_F(RoutedPath, forwardedRefusalInAnAnswerAllowsNoSecondRun)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        auto answer = conformingAnswer(request, 500);
        answer.headers_.push_back({"Fuchsiadock-Outcome", "not-run"});
        server.respond(id, std::move(answer));
    });
    const auto answer = call("POST", "/write/1");
    EXPECT_EQ(answer.status_, 500);
    EXPECT_EQ(headerOf(answer, "Fuchsiadock-Outcome"), "complete");
    EXPECT_EQ(runs(), 1);
}

TEST_F(RoutedPath, peerFieldsInAnAnswerAllowNoSecondRun)
{
    for (const auto &field :
         {net::Header{"fd-kind", "not-run"}, net::Header{"FD-Flags", "replaced"}}) {
        serve([field](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
            auto answer = conformingAnswer(request);
            answer.headers_.push_back(field);
            server.respond(id, std::move(answer));
        });
        EXPECT_EQ(call("POST", "/write/1").status_, 200) << field.name_;
        EXPECT_EQ(runs(), 1) << field.name_;
    }
}

TEST_F(RoutedPath, successMarkedAsNotRunIsUnknown)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        auto answer = conformingAnswer(request);
        answer.headers_.push_back({"T-Not-Executed", "0"});
        server.respond(id, std::move(answer));
    });
    EXPECT_EQ(call("POST", "/write/1").status_, 502);
    EXPECT_EQ(runs(), 1);
}

TEST_F(RoutedPath, noRetryAfterTheRouteBecameNonIdempotent)
{
    serve([this](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        auto config = std::make_shared<model::Config>(*routedConfig());
        config->revision_ = 2;
        config->routes_["a.example"]["/read/once/"] = route("once", "/read/once/", false);
        entry_->task_->deliver(dock::ConfigUpdated{config});
        server.respond(id, conformingAnswer(request, 500));
    });
    EXPECT_EQ(call("GET", "/read/once/1").status_, 500);
    EXPECT_EQ(runs(), 1);
}

TEST_F(RoutedPath, noRetryAfterARefusalIfTheRouteBecameNonIdempotent)
{
    std::atomic<int> arrivals = 0;
    serve([&](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        if (arrivals++ == 0) {
            server.respond(id, conformingAnswer(request, 500));
            return;
        }
        auto config = std::make_shared<model::Config>(*routedConfig());
        config->revision_ = 2;
        config->routes_["a.example"]["/read/once/"] = route("once", "/read/once/", false);
        entry_->task_->deliver(dock::ConfigUpdated{config});
        server.respond(id, {.status_ = 503, .headers_ = {{"T-Not-Executed", "1"}}});
    });
    EXPECT_EQ(call("GET", "/read/once/1").status_, 500);
    EXPECT_EQ(arrivals, 2);
}

TEST_F(RoutedPath, routeDeadlineLimitsTheRequestedDeadline)
{
    serve([](net::HttpServer &, net::ExchangeId, const HttpRequest &) {});
    const auto began = base::monotonicNow();
    EXPECT_EQ(call("POST", "/write/1", {{"T-Deadline", "60000"}}).status_, 504);
    EXPECT_LT(base::monotonicNow() - began, base::Millis(10'000));
}

TEST_F(RoutedPath, leavingInstanceGetsNoNewRequests)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request));
    });
    first_.dock_->task_->deliver(dock::BackendDraining{});
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(call("POST", "/write/1").status_, 200);
    EXPECT_EQ(first_.backend_->runs(), 0);
}

TEST_F(RoutedPath, childCallIsDetectedByRequestIdPrefix)
{
    std::atomic<int> calls = 0;
    serve([&](net::HttpServer &, net::ExchangeId, const HttpRequest &request) {
        const std::string requestId(net::headerValue(request.headers_, "t-request"));
        if (requestId.find('.') != std::string::npos) {
            ++calls;
            return; // never answers
        }
        auto &instance =
                net::headerValue(request.headers_, "t-expected") == "i-first" ? first_ : second_;
        caller_.start(instance.dock_->address(),
                      {.method_ = "GET",
                       .target_ = "/read/1",
                       .headers_ = {{"Host", "a.example"}, {"T-Request", requestId + ".1"}}});
    });
    auto pending = caller_.start(entry_->address(),
                                 {.method_ = "GET",
                                  .target_ = "/read/1",
                                  .headers_ = {{"Host", "a.example"}, {"T-Request", "root"}}},
                                 base::Millis(300));
    EXPECT_FALSE(pending.get());
    // The caller disconnected, so the request and its child call are both cancelled.
    while (calls < 1 || first_.backend_->disconnects() + second_.backend_->disconnects() < 2)
        std::this_thread::yield();
}

TEST_F(RoutedPath, requestsAfterTheDrainAreRefused)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request));
    });
    entry_->task_->deliver(dock::BeginDrain{});
    EXPECT_EQ(call("POST", "/write/1").status_, 200);
    while (!entry_->hasDrained())
        std::this_thread::yield();
    const auto runsBefore = runs();
    const auto answer = call("POST", "/write/1");
    EXPECT_EQ(answer.status_, 503);
    EXPECT_EQ(headerOf(answer, "Connection"), "close");
    EXPECT_EQ(runs(), runsBefore);
}

// Both daemons restart while their backend servers keep running: no other instance could serve.
TEST_F(RoutedPath, drainingDaemonServesOtherDaemonsDuringHandover)
{
    constexpr base::Millis handover(500);
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        server.respond(id, conformingAnswer(request));
    });
    EXPECT_EQ(call("POST", "/write/1").status_, 200);
    const auto began = base::monotonicNow();
    for (auto *instance : {&first_, &second_}) {
        instance->dock_->settings_.drainHandover_ = handover;
        instance->dock_->task_->deliver(dock::BeginDrain{});
    }
    EXPECT_EQ(call("POST", "/write/1").status_, 200);
    EXPECT_LT(base::monotonicNow() - began, handover) << "the machine was too slow for this test";
    while (call("POST", "/write/1").status_ != 503)
        ASSERT_LT(base::monotonicNow() - began, handover + base::Millis(2000));
    while (!first_.dock_->hasDrained())
        std::this_thread::yield();
}

TEST_F(RoutedPath, drainEndsDespiteNewRequests)
{
    // Requests are never answered, so that the entry is busy as long as it accepts new ones.
    serve([](net::HttpServer &, net::ExchangeId, const HttpRequest &) {});
    const HttpRequest endless{.method_ = "GET",
                              .target_ = "/read/1",
                              .headers_ = {{"Host", "a.example"}, {"T-Request", "endless"}}};
    std::vector<std::future<net::CallResult>> pending;
    entry_->task_->deliver(dock::BeginDrain{});
    int status = 0;
    while (status != 503) {
        pending.push_back(caller_.start(entry_->address(), endless));
        const auto &last = pending.back();
        if (last.wait_for(std::chrono::milliseconds(100)) == std::future_status::ready)
            status = pending.back().get().value_or(HttpResponse{.status_ = 0}).status_;
    }
    EXPECT_FALSE(entry_->hasDrained());
    while (!entry_->hasDrained())
        std::this_thread::yield();
}
