#include "TestSystem.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using base::Millis;
using dock::testing::Caller;
using dock::testing::Dock;
using dock::testing::FakeBackend;
using dock::testing::Loop;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr int slots = 16;

std::string headerOf(const HttpResponse &response, const char *name)
{
    return std::string(net::headerValue(response.headers_, name));
}

std::string outcomeOf(const HttpResponse &response)
{
    return headerOf(response, "Fuchsiadock-Outcome");
}

/** An entry daemon and two instances of the service "wallet" with their daemons. */
class Failures : public ::testing::Test
{
protected:
    void serve(FakeBackend::Behaviour behaviour)
    {
        for (auto *place : {&first_, &second_})
            place->backend_ = std::make_unique<FakeBackend>(backendLoop_, behaviour);
        configure(dock::testing::walletConfig());
        tellMembers();
        for (auto *place : {&first_, &second_})
            announce(*place->dock_, place->backend_->port());
    }

    void configure(const std::shared_ptr<const model::Config> &config)
    {
        for (auto *dock : docks())
            dock->task_->deliver(dock::ConfigInForce{config});
    }

    void tellMembers()
    {
        auto members = std::make_shared<std::vector<model::Member>>();
        members->push_back(entry_->member("", 0, model::ServingState::Absent));
        members->push_back(first_.dock_->member("wallet", slots));
        members->push_back(second_.dock_->member("wallet", slots));
        for (auto *dock : docks())
            dock->task_->deliver(dock::MembersKnown{members});
    }

    void announce(const Dock &dock, std::uint16_t port)
    {
        const nlohmann::json body = {{"service", "wallet"}, {"port", port}, {"slots", slots}};
        const auto answer = caller_.call(
                dock.address(),
                {.method_ = "PUT", .target_ = "/.fuchsiadock/backend", .body_ = body.dump()});
        ASSERT_EQ(answer.status_, 200) << answer.body_;
    }

    std::vector<Dock *> docks() const
    {
        return {entry_.get(), first_.dock_.get(), second_.dock_.get()};
    }

    std::string issueKey()
    {
        const auto answer
                = caller_.call(entry_->address(), {.method_ = "POST", .target_ = "/wallet/r"});
        return headerOf(answer, "Fuchsiadock-Next-Key");
    }

    static HttpRequest redeem(const std::string &key)
    {
        return {.method_ = "POST",
                .target_ = "/wallet/r",
                .headers_ = {{"Idempotency-Key", key}},
                .body_ = "book"};
    }

    int runs() const { return first_.backend_->runs() + second_.backend_->runs(); }

    void waitForRuns(int count) const
    {
        while (runs() < count)
            std::this_thread::yield();
    }

    struct Place
    {
        std::unique_ptr<FakeBackend> backend_;
        std::unique_ptr<Dock> dock_;
    };

    Loop backendLoop_;
    Loop callerLoop_;
    Caller caller_{callerLoop_};
    std::unique_ptr<Dock> entry_ = std::make_unique<Dock>(callerLoop_, "entry");
    Place first_{nullptr, std::make_unique<Dock>(callerLoop_, "first")};
    Place second_{nullptr, std::make_unique<Dock>(callerLoop_, "second")};
};

void ignore(net::HttpServer &, net::ExchangeId, const HttpRequest &) {}

} // namespace

TEST_F(Failures, anIdempotentCallIsRetriedWhereTheBackendServerDies)
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

TEST_F(Failures, aKeyedCallWhoseExecutorDiesIsUnknownAndRunsNowhereElse)
{
    serve(ignore);
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

TEST_F(Failures, aKeyWhoseHomeIsGoneIsUnknown)
{
    serve(ignore);
    const auto key = issueKey();
    entry_.reset();
    const auto answer = caller_.call(first_.dock_->address(), redeem(key));
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(runs(), 0);
}

TEST_F(Failures, duplicatesThroughAllDaemonsRunOnceAndGetTheSameAnswer)
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

TEST_F(Failures, oneKeyForTwoRequestsRunsOnlyTheFirst)
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

TEST_F(Failures, aDeadlineThatHasPassedRunsNothing)
{
    serve(ignore);
    auto request = redeem(issueKey());
    request.headers_.push_back({"Fuchsiadock-Deadline-Ms", "0"});
    EXPECT_EQ(outcomeOf(caller_.call(entry_->address(), request)), "not-run");
    EXPECT_EQ(runs(), 0);
}

// The backend servers always die on the request: B retries on top of the first attempt at most.
TEST_F(Failures, attemptsOfOneCallStayWithinItsBudget)
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

TEST_F(Failures, aCallersOwnKeyGetsNoRetries)
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

TEST_F(Failures, aCallerThatHangsUpCancelsDownTheChain)
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
    auto child = caller_.start(
            parent.dock_->address(),
            {.target_ = "/wallet/child", .headers_ = {{"Fuchsiadock-Context", token}}});
    waitForRuns(2);
    EXPECT_FALSE(root.get());
    const auto answer = child.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(outcomeOf(*answer), "unknown");
    EXPECT_EQ(headerOf(*answer, "Fuchsiadock-Reason"), "cancelled");
    while (first_.backend_->hangUps() + second_.backend_->hangUps() < 2)
        std::this_thread::yield();
}
