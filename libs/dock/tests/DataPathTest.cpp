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

std::string outcomeOf(const HttpResponse &response)
{
    return std::string(net::headerValue(response.headers_, "Fuchsiadock-Outcome"));
}

std::string reasonOf(const HttpResponse &response)
{
    return std::string(net::headerValue(response.headers_, "Fuchsiadock-Reason"));
}

void echo(net::HttpServer &server, net::ExchangeId id, HttpRequest request)
{
    HttpResponse response{.status_ = 201, .body_ = request.target_ + "|" + request.body_};
    response.headers_ = {{"X-Twice", "1"}, {"X-Twice", "2"}};
    server.respond(id, std::move(response));
}

/** An entry daemon without a backend server, and an executor daemon with one. */
class DataPath : public ::testing::Test
{
protected:
    void serve(FakeBackend::Behaviour behaviour)
    {
        backend_ = std::make_unique<FakeBackend>(backendLoop_, std::move(behaviour));
        ASSERT_TRUE(entry_.started_ && executor_.started_);
        deliverConfigAndMembers(executor_.member("wallet", slots));
        announce();
    }

    void deliverConfigAndMembers(const model::Member &executor)
    {
        auto members = std::make_shared<std::vector<model::Member>>();
        members->push_back(entry_.member("", 0, model::ServingState::Absent));
        members->push_back(executor);
        for (auto *dock : {&entry_, &executor_}) {
            dock->task_->deliver(dock::ConfigUpdated{dock::testing::walletConfig()});
            dock->task_->deliver(dock::MembersUpdated{members});
        }
    }

    void announce()
    {
        const nlohmann::json body = {
                {"service", "wallet"}, {"port", backend_->port()}, {"slots", slots}};
        const auto answer = caller_.call(
                executor_.address(),
                {.method_ = "PUT", .target_ = "/.fuchsiadock/backend", .body_ = body.dump()});
        ASSERT_EQ(answer.status_, 200) << answer.body_;
    }

    std::string issueKey(const Dock &home)
    {
        const auto answer =
                caller_.call(home.address(), {.method_ = "POST",
                                              .target_ = "/.fuchsiadock/keys",
                                              .body_ = R"({"service":"wallet","count":1})"});
        return nlohmann::json::parse(answer.body_)["keys"][0];
    }

    static HttpRequest redeem(const std::string &key, const std::string &body = "book")
    {
        return {.method_ = "POST",
                .target_ = "/wallet/redeem",
                .headers_ = {{"Idempotency-Key", key}},
                .body_ = body};
    }

    static constexpr int slots = 8;

    Loop backendLoop_;
    Loop callerLoop_;
    Caller caller_{callerLoop_};
    Dock entry_{callerLoop_, "entry"};
    Dock executor_{callerLoop_, "executor"};
    std::unique_ptr<FakeBackend> backend_;
};

} // namespace

TEST_F(DataPath, forwardsRequestAndAnswerUnchanged)
{
    serve(echo);
    for (const std::size_t size : {0UL, 10UL, 3'000'000UL}) {
        const auto answer = caller_.call(entry_.address(), {.method_ = "GET",
                                                            .target_ = "/wallet/b/1?x=%2F",
                                                            .body_ = std::string(size, 'b')});
        EXPECT_EQ(answer.status_, 201) << answer.body_;
        EXPECT_EQ(outcomeOf(answer), "complete");
        EXPECT_EQ(answer.body_, "/b/1?x=%2F|" + std::string(size, 'b'));
        EXPECT_EQ(std::count(answer.headers_.begin(), answer.headers_.end(),
                             net::Header{"x-twice", "2"})
                          + std::count(answer.headers_.begin(), answer.headers_.end(),
                                       net::Header{"X-Twice", "2"}),
                  1);
    }
}

TEST_F(DataPath, keyedRequestRunsOnceAcrossDaemons)
{
    serve(echo);
    const auto key = issueKey(entry_);
    const auto first = caller_.call(entry_.address(), redeem(key));
    EXPECT_EQ(outcomeOf(first), "complete") << first.body_;
    EXPECT_FALSE(net::headerValue(first.headers_, "Fuchsiadock-Next-Key").empty());
    const auto repeated = caller_.call(executor_.address(), redeem(key));
    EXPECT_EQ(outcomeOf(repeated), "complete") << repeated.body_;
    EXPECT_EQ(repeated.body_, first.body_);
    EXPECT_EQ(backend_->runs(), 1);
}

TEST_F(DataPath, missingKeyIsRefusedWithANextKey)
{
    serve(echo);
    const auto answer =
            caller_.call(entry_.address(), {.method_ = "POST", .target_ = "/wallet/redeem"});
    EXPECT_EQ(answer.status_, 428);
    EXPECT_EQ(outcomeOf(answer), "not-run");
    const std::string key(net::headerValue(answer.headers_, "Fuchsiadock-Next-Key"));
    EXPECT_EQ(outcomeOf(caller_.call(entry_.address(), redeem(key))), "complete");
    EXPECT_EQ(backend_->runs(), 1);
}

TEST_F(DataPath, lostAnswerIsUnknown)
{
    // The connection closes before any answer, so the request may have run.
    serve([this](net::HttpServer &, net::ExchangeId, HttpRequest) {
        backendLoop_.reactor_.post([] {});
    });
    auto pending = caller_.start(entry_.address(), redeem(issueKey(entry_)));
    while (backend_->runs() == 0)
        std::this_thread::yield();
    backend_->crash();
    const auto answer = pending.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(outcomeOf(*answer), "unknown");
    EXPECT_EQ(answer->status_, 504);
}

TEST_F(DataPath, backendRefusalIsNotRun)
{
    serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        server.respond(id, {.status_ = 503, .headers_ = {{"Fuchsiadock-Outcome", "not-run"}}});
    });
    const auto answer = caller_.call(entry_.address(), redeem(issueKey(entry_)));
    EXPECT_EQ(outcomeOf(answer), "not-run");
    EXPECT_EQ(reasonOf(answer), "backend-refused");
}

TEST_F(DataPath, disconnectCancelsAnIdempotentCall)
{
    serve([](net::HttpServer &, net::ExchangeId, const HttpRequest &) {});
    auto pending = caller_.start(entry_.address(), {.target_ = "/wallet/b"}, Millis(200));
    while (backend_->runs() == 0)
        std::this_thread::yield();
    EXPECT_FALSE(pending.get());
    while (backend_->disconnects() == 0)
        std::this_thread::yield();
}

TEST_F(DataPath, drainingInstanceFinishesRunningAndRefusesNewRequests)
{
    std::atomic<net::ExchangeId> held = 0;
    net::HttpServer *heldServer = nullptr;
    serve([&](net::HttpServer &server, net::ExchangeId id, const HttpRequest &) {
        heldServer = &server;
        held = id;
    });
    auto running = caller_.start(entry_.address(), redeem(issueKey(entry_)));
    while (held == 0) {
        // A request that is refused would never be held.
        if (running.wait_for(std::chrono::milliseconds(0)) == std::future_status::ready) {
            const auto refused = running.get();
            FAIL() << (refused ? reasonOf(*refused) : refused.error().detail_);
        }
        std::this_thread::yield();
    }
    executor_.task_->deliver(dock::BeginDrain{});
    const auto refused = caller_.call(entry_.address(), redeem(issueKey(entry_)));
    EXPECT_EQ(outcomeOf(refused), "not-run") << refused.body_;
    EXPECT_EQ(backend_->runs(), 1);
    backendLoop_.run([&] { heldServer->respond(held, {.status_ = 200, .body_ = "done"}); });
    const auto answer = running.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body_, "done");
    while (!executor_.hasDrained())
        std::this_thread::yield();
}

TEST_F(DataPath, isNotRunWithoutConfigurationServiceOrInstance)
{
    const auto unconfigured = caller_.call(entry_.address(), {.target_ = "/wallet/b"});
    EXPECT_EQ(outcomeOf(unconfigured), "not-run");
    EXPECT_EQ(reasonOf(unconfigured), "no-configuration");
    deliverConfigAndMembers(executor_.member("", 0, model::ServingState::Absent));
    const auto unserved = caller_.call(entry_.address(), {.target_ = "/wallet/b"});
    EXPECT_EQ(reasonOf(unserved), "no-instance");
    const auto missing = caller_.call(entry_.address(), {.target_ = "/nothing"});
    EXPECT_EQ(missing.status_, 404);
    EXPECT_EQ(outcomeOf(missing), "not-run");
}

TEST_F(DataPath, forgedKeyIsNotRun)
{
    serve(echo);
    const auto answer = caller_.call(entry_.address(), redeem("made-up"));
    EXPECT_EQ(outcomeOf(answer), "not-run");
    EXPECT_EQ(answer.status_, 428);
    EXPECT_EQ(backend_->runs(), 0);
}

// The outcome must not be "not-run", as the key's owner may have used the key.
TEST_F(DataPath, keyOfAnotherCustomerIsUnknown)
{
    serve(echo);
    auto stolen = redeem(issueKey(entry_));
    stolen.headers_.push_back({"Fuchsiadock-Customer", "somebody-else"});
    const auto answer = caller_.call(entry_.address(), stolen);
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(reasonOf(answer), "key-mismatch");
    EXPECT_EQ(backend_->runs(), 0);
}

TEST_F(DataPath, keysOfAnEarlierGenerationAreUnknown)
{
    serve(echo);
    const auto before = issueKey(entry_);
    entry_.task_->deliver(dock::IncarnationChanged{{"entry", 7}});
    const auto answer = caller_.call(entry_.address(), redeem(before));
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(outcomeOf(caller_.call(entry_.address(), redeem(issueKey(entry_)))), "complete");
    EXPECT_EQ(backend_->runs(), 1);
}
