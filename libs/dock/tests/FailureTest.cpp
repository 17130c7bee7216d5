#include "ThreeDaemons.h"

using base::Millis;
using dock::testing::headerOf;
using dock::testing::outcomeOf;
using net::HttpRequest;
using net::HttpResponse;

namespace {

class Failures : public dock::testing::ThreeDaemons
{};

void neverRespond(net::HttpServer &, net::ExchangeId, const HttpRequest &) {}

} // namespace

TEST_F(Failures, idempotentCallIsRetriedAfterBackendCrash)
{
    std::atomic<int> served = 0;
    serve([&served](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        if (served++ > 0)
            server.respond(id, {.body_ = "whole"});
    });
    auto pending = caller_.start(entry_->address(), {.target_ = "/wallet/b"});
    waitForRuns(1);
    (first_.backend_->runs() > 0 ? first_ : second_).backend_->crash();
    const auto answer = pending.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body_, "whole");
    EXPECT_EQ(outcomeOf(*answer), "complete");
    EXPECT_EQ(runs(), 2);
}

TEST_F(Failures, keyedCallIsUnknownAndNotRerunAfterExecutorCrash)
{
    serve(neverRespond);
    const auto key = issueKey();
    auto request = redeem(key);
    request.headers_.push_back({"Fuchsiadock-Deadline-Ms", "1500"});
    auto pending = caller_.start(entry_->address(), request);
    waitForRuns(1);
    (first_.backend_->runs() > 0 ? first_ : second_).dock_.reset();
    const auto answer = pending.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(outcomeOf(*answer), "unknown");
    EXPECT_EQ(outcomeOf(caller_.call(entry_->address(), request)), "unknown");
    EXPECT_EQ(runs(), 1);
}

TEST_F(Failures, keyIsUnknownAfterItsHomeExits)
{
    serve(neverRespond);
    const auto key = issueKey();
    entry_.reset();
    const auto answer = caller_.call(first_.dock_->address(), redeem(key));
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(runs(), 0);
}

TEST_F(Failures, duplicatesAtAllDaemonsRunOnceWithTheSameAnswer)
{
    std::atomic<net::ExchangeId> held = 0;
    std::atomic<net::HttpServer *> server = nullptr;
    serve([&](net::HttpServer &from, net::ExchangeId id, const HttpRequest &) {
        server = &from;
        held = id;
    });
    const auto key = issueKey();
    std::vector<std::future<net::CallResult>> pending;
    for (int i = 0; i < 4; ++i) {
        for (auto *dock : docks())
            pending.push_back(caller_.start(dock->address(), redeem(key)));
    }
    waitForRuns(1);
    backendLoop_.run([&] { server.load()->respond(held, {.body_ = "one book"}); });
    for (auto &answer : pending) {
        const auto result = answer.get();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->body_, "one book");
        EXPECT_EQ(outcomeOf(*result), "complete");
    }
    EXPECT_EQ(runs(), 1);
}

TEST_F(Failures, keyReusedForAnotherRequestIsNotRun)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.body_ = "done"});
    });
    const auto key = issueKey();
    EXPECT_EQ(outcomeOf(caller_.call(entry_->address(), redeem(key))), "complete");
    auto other = redeem(key);
    other.body_ = "another book";
    EXPECT_NE(outcomeOf(caller_.call(entry_->address(), other)), "complete");
    EXPECT_EQ(runs(), 1);
}

TEST_F(Failures, expiredDeadlineIsNotRun)
{
    serve(neverRespond);
    auto request = redeem(issueKey());
    request.headers_.push_back({"Fuchsiadock-Deadline-Ms", "0"});
    EXPECT_EQ(outcomeOf(caller_.call(entry_->address(), request)), "not-run");
    EXPECT_EQ(runs(), 0);
}

// The backend servers refuse every attempt; each call makes at most budget_ retries.
TEST_F(Failures, attemptsStayWithinTheRetryBudget)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.status_ = 503, .headers_ = {{"Fuchsiadock-Outcome", "not-run"}}});
    });
    const auto budget = dock::testing::walletConfig()->retryTolerances_.at("balance").budget_;
    constexpr int calls = 5;
    for (int i = 0; i < calls; ++i) {
        const auto answer = caller_.call(entry_->address(), {.target_ = "/wallet/b"});
        EXPECT_EQ(outcomeOf(answer), "not-run");
    }
    EXPECT_LE(runs(), calls * (1 + static_cast<int>(budget)));
    EXPECT_GT(runs(), calls);
}

// The backend server has run the request and forwards the refusal of one of its own calls.
TEST_F(Failures, forwardedRefusalOfAChildCallAllowsNoSecondRun)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.status_ = 503,
                            .headers_ = {{"Fuchsiadock-Outcome", "not-run"},
                                         {"Fuchsiadock-Reason", "overloaded"},
                                         {"Fuchsiadock-Next-Key", "of the call"}},
                            .body_ = "half of it is done"});
    });
    const auto answer = caller_.call(entry_->address(), redeem(issueKey()));
    EXPECT_EQ(outcomeOf(answer), "complete");
    EXPECT_EQ(answer.body_, "half of it is done");
    EXPECT_EQ(net::headerValue(answer.headers_, "Fuchsiadock-Reason"), "");
    EXPECT_NE(net::headerValue(answer.headers_, "Fuchsiadock-Next-Key"), "of the call");
    EXPECT_EQ(runs(), 1);
}

TEST_F(Failures, successMarkedAsNotRunIsUnknown)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.status_ = 200, .headers_ = {{"Fuchsiadock-Outcome", "not-run"}}});
    });
    EXPECT_EQ(outcomeOf(caller_.call(entry_->address(), redeem(issueKey()))), "unknown");
    EXPECT_EQ(runs(), 1);
}

TEST_F(Failures, callerChosenKeyGetsNoRetries)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.status_ = 503, .headers_ = {{"Fuchsiadock-Outcome", "not-run"}}});
    });
    const HttpRequest request{.target_ = "/wallet/b", .headers_ = {{"Idempotency-Key", "mine"}}};
    constexpr int repetitions = 5;
    for (int i = 0; i < repetitions; ++i)
        caller_.call(entry_->address(), request);
    EXPECT_LE(runs(), repetitions);
}

TEST_F(Failures, disconnectCancelsChildCalls)
{
    std::mutex mutex;
    std::string context;
    serve([&](net::HttpServer &, net::ExchangeId, const HttpRequest &request) {
        const std::lock_guard lock(mutex);
        context = net::headerValue(request.headers_, "Fuchsiadock-Context");
    });
    auto root = caller_.start(entry_->address(), {.target_ = "/wallet/parent"}, Millis(300));
    waitForRuns(1);
    const auto &parent = first_.backend_->runs() > 0 ? first_ : second_;
    std::string token;
    while (token.empty()) {
        const std::lock_guard lock(mutex);
        token = context;
    }
    auto child =
            caller_.start(parent.dock_->address(), {.target_ = "/wallet/child",
                                                    .headers_ = {{"Fuchsiadock-Context", token}}});
    waitForRuns(2);
    EXPECT_FALSE(root.get());
    const auto answer = child.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(outcomeOf(*answer), "unknown");
    EXPECT_EQ(headerOf(*answer, "Fuchsiadock-Reason"), "cancelled");
    while (first_.backend_->disconnects() + second_.backend_->disconnects() < 2)
        std::this_thread::yield();
}
