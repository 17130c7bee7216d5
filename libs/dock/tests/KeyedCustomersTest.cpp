#include <base/Clock.h>
#include <dock/CallInterface.h>

#include "ThreeDaemons.h"

using namespace dock::testing;
using model::ServingState;

namespace {

dock::CallInterface keyedInterface()
{
    return {.addressing_ = dock::CallInterface::Addressing::Routes,
            .deadlineMsField_ = "t-deadline",
            .contextField_ = "",
            .requestIdField_ = "t-request",
            .requestIdSeparator_ = '.',
            .keyField_ = "t-key",
            .customerField_ = "t-customer",
            .callerServiceField_ = "t-caller",
            .expectedInstanceField_ = "t-expected",
            .notExecutedField_ = "t-not-executed",
            .signatureField_ = "t-signature",
            .hasFractionalRetryAfter_ = true,
            .lostAnswerStatus_ = 502};
}

model::Route route(const std::string &name, bool isIdempotent, bool isPublic)
{
    return {.class_ = {.name_ = name,
                       .pathPrefix_ = "/" + name + "/",
                       .rank_ = 1,
                       .idempotent_ = isIdempotent,
                       .deadline_ = base::Millis(2000),
                       .isPublic_ = isPublic},
            .services_ = {{"wallet", 1}},
            .maxAttempts_ = 3};
}

std::shared_ptr<model::Config> keyedConfig()
{
    auto config = std::make_shared<model::Config>();
    config->revision_ = 1;
    auto &routes = config->routes_["a.example"];
    routes["/read/"] = route("read", true, false);
    routes["/write/"] = route("write", false, false);
    routes["/open/"] = route("open", true, true);
    config->addCustomer({.name_ = "acme", .keys_ = {model::KeyDigest::of("k1")}});
    config->addCustomer({.name_ = "zeta", .keys_ = {model::KeyDigest::of("k2")}});
    return config;
}

HttpResponse answerTo(const HttpRequest &request, int status = 200)
{
    return {.status_ = status,
            .headers_ = {{"T-Request",
                          std::string(net::headerValue(request.headers_, "t-request"))},
                         {"T-Signature", "s"}},
            .body_ = "whole"};
}

/** An entry daemon without a backend server and two instances; customers need keys. */
class KeyedCustomers : public ::testing::Test
{
protected:
    struct Instance
    {
        std::unique_ptr<FakeBackend> backend_;
        std::unique_ptr<Dock> dock_;
    };

    /** Starts both backend servers; they keep each request that they receive. */
    void serve(const FakeBackend::Behaviour &respond)
    {
        const auto behaviour = [this, respond](net::HttpServer &server, net::ExchangeId id,
                                               const HttpRequest &request) {
            received_.push_back(request);
            respond(server, id, request);
        };
        auto members = std::make_shared<std::vector<model::Member>>();
        members->push_back(entry_->member("", 0, ServingState::Absent));
        for (auto *instance : {&first_, &second_}) {
            instance->backend_ = std::make_unique<FakeBackend>(backendLoop_, behaviour);
            members->push_back(instance->dock_->member("wallet", slots));
        }
        deliverToAll(dock::ConfigUpdated{keyedConfig()});
        deliverToAll(dock::ConfigConfirmed{base::elapsedNow()});
        deliverToAll(dock::MembersUpdated{members});
        for (auto *instance : {&first_, &second_})
            instance->dock_->task_->deliver(
                    dock::BackendAnnounced{{.service_ = "wallet",
                                            .address_ = {"127.0.0.1", instance->backend_->port()},
                                            .instanceId_ = "i-" + instance->dock_->settings_.id_,
                                            .slots_ = slots}});
    }

    void serve()
    {
        serve([](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
            server.respond(id, answerTo(request));
        });
    }

    void deliverToAll(const dock::DataTaskMessage &message)
    {
        for (auto *dock : {entry_.get(), first_.dock_.get(), second_.dock_.get()})
            dock->task_->deliver(message);
    }

    HttpResponse callAt(const Dock &dock, const std::string &target, net::Headers headers)
    {
        headers.push_back({"Host", "a.example"});
        if (net::headerValue(headers, "t-request").empty())
            headers.push_back({"T-Request", "r-" + std::to_string(++requests_)});
        return caller_.call(dock.address(),
                            {.method_ = "POST", .target_ = target, .headers_ = headers});
    }

    HttpResponse call(const std::string &target, net::Headers headers = {})
    {
        return callAt(*entry_, target, std::move(headers));
    }

    static std::string field(const HttpRequest &request, const char *name)
    {
        return std::string(net::headerValue(request.headers_, name));
    }

    /** Checks the customer of all requests that backend servers received, and forgets them. */
    void expectCustomer(const std::string &customer, std::size_t count)
    {
        EXPECT_EQ(received_.size(), count);
        for (const auto &request : std::exchange(received_, {})) {
            EXPECT_EQ(field(request, "t-customer"), customer);
            EXPECT_EQ(field(request, "t-key"), "");
            const auto fields = std::count_if(
                    request.headers_.begin(), request.headers_.end(), [](const auto &header) {
                        return net::equalsIgnoringCase(header.name_, "t-customer");
                    });
            EXPECT_EQ(fields, customer.empty() ? 0 : 1);
        }
    }

    std::vector<HttpRequest> received_; ///< used on the backend servers' thread, or while idle
    Loop backendLoop_;
    Loop callerLoop_;
    Caller caller_{callerLoop_};
    std::unique_ptr<Dock> entry_ =
            std::make_unique<Dock>(callerLoop_, "entry", 1, keyedInterface());
    Instance first_{nullptr, std::make_unique<Dock>(callerLoop_, "first", 1, keyedInterface())};
    Instance second_{nullptr, std::make_unique<Dock>(callerLoop_, "second", 1, keyedInterface())};
    int requests_ = 0;
};

} // namespace

TEST_F(KeyedCustomers, backendServerGetsTheCustomerAndNotTheKey)
{
    serve();
    const net::Headers forged = {
            {"T-Key", "Bearer k1"}, {"T-Customer", "zeta"}, {"t-customer", "zeta"}};
    for (const auto *target : {"/read/1", "/write/1", "/open/1"}) {
        EXPECT_EQ(call(target, forged).status_, 200);
        expectCustomer("acme", 1);
        EXPECT_EQ(callAt(*first_.dock_, target, forged).status_, 200);
        expectCustomer("acme", 1);
    }
}

TEST_F(KeyedCustomers, publicRequestWithoutKeyHasNoCustomer)
{
    serve();
    EXPECT_EQ(call("/open/1", {{"T-Customer", "acme"}}).status_, 200);
    expectCustomer("", 1);
    EXPECT_EQ(call("/open/1", {{"T-Key", "Bearer k9"}}).status_, 200);
    expectCustomer("", 1);
}

TEST_F(KeyedCustomers, unknownOrMissingKeyIsUnauthorizedAndNotSent)
{
    serve();
    for (const auto *target : {"/read/1", "/write/1"}) {
        for (const net::Headers &headers :
             {net::Headers{}, net::Headers{{"T-Key", "Bearer k9"}},
              net::Headers{{"T-Customer", "acme"}}, net::Headers{{"T-Key", "k1"}}}) {
            const auto answer = call(target, headers);
            EXPECT_EQ(answer.status_, 401);
            EXPECT_EQ(headerOf(answer, "Fuchsiadock-Reason"), "unknown-key");
        }
    }
    expectCustomer("", 0);
}

TEST_F(KeyedCustomers, secondAttemptsCarryTheCustomer)
{
    int requests = 0;
    serve([&requests](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        const bool isRefused = ++requests % 2 == 1;
        auto answer = answerTo(request, isRefused ? 503 : 200);
        if (isRefused)
            answer.headers_.push_back({"T-Not-Executed", "1"});
        server.respond(id, std::move(answer));
    });
    for (const auto *target : {"/read/1", "/write/1"}) {
        EXPECT_EQ(call(target, {{"T-Key", "Bearer k2"}, {"T-Customer", "acme"}}).status_, 200);
        expectCustomer("zeta", 2);
    }
}

TEST_F(KeyedCustomers, handedOverRequestCarriesTheCustomer)
{
    serve();
    first_.dock_->task_->deliver(dock::BackendDraining{});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(
                callAt(*first_.dock_, i % 2 == 0 ? "/read/1" : "/write/1", {{"T-Key", "Bearer k1"}})
                        .status_,
                200);
        expectCustomer("acme", 1);
    }
}

TEST_F(KeyedCustomers, callsOfARequestHaveItsCustomerAndNeedNoKey)
{
    std::future<net::CallResult> inner;
    serve([&](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        if (field(request, "t-request") != "root") {
            server.respond(id, answerTo(request));
            return; // the parent is never answered
        }
        auto &instance = field(request, "t-expected") == "i-first" ? first_ : second_;
        inner = caller_.start(instance.dock_->address(), {.method_ = "POST",
                                                          .target_ = "/write/1",
                                                          .headers_ = {{"Host", "a.example"},
                                                                       {"T-Request", "root.1"},
                                                                       {"T-Customer", "acme"}}});
    });
    auto outer = caller_.start(
            entry_->address(),
            {.method_ = "POST",
             .target_ = "/read/1",
             .headers_ = {{"Host", "a.example"}, {"T-Request", "root"}, {"T-Key", "Bearer k2"}}},
            base::Millis(500));
    EXPECT_FALSE(outer.get());
    EXPECT_EQ(inner.get()->status_, 200);
    expectCustomer("zeta", 2);
}

TEST_F(KeyedCustomers, unconfirmedConfigurationIsNoReasonToDenyForGood)
{
    const Dock late(callerLoop_, "late", 1, keyedInterface());
    serve();
    late.task_->deliver(dock::ConfigUpdated{keyedConfig()});
    for (const auto *target : {"/read/1", "/nowhere/1"}) {
        const auto answer = callAt(late, target, {{"T-Key", "Bearer k9"}});
        EXPECT_EQ(answer.status_, 503);
        EXPECT_EQ(headerOf(answer, "Fuchsiadock-Reason"), "unconfirmed");
        EXPECT_NE(headerOf(answer, "Retry-After"), "");
    }
    late.task_->deliver(dock::ConfigConfirmed{base::elapsedNow()});
    EXPECT_EQ(callAt(late, "/read/1", {{"T-Key", "Bearer k9"}}).status_, 401);
    EXPECT_EQ(callAt(late, "/nowhere/1", {{"T-Key", "Bearer k9"}}).status_, 404);
}

TEST_F(KeyedCustomers, requestIdOfAnotherCustomerIsNoWayToItsAnswer)
{
    serve();
    EXPECT_EQ(call("/write/1", {{"T-Key", "Bearer k1"}, {"T-Request", "same"}}).status_, 200);
    expectCustomer("acme", 1);
    const auto stolen = call("/write/1", {{"T-Key", "Bearer k2"}, {"T-Request", "same"}});
    EXPECT_EQ(headerOf(stolen, "Fuchsiadock-Reason"), "key-mismatch");
    expectCustomer("", 0);
}

TEST_F(KeyedCustomers, fieldsPassUnchangedWhereNoKeysAreRequired)
{
    serve();
    auto config = std::make_shared<model::Config>(*keyedConfig());
    config->customers_.clear();
    config->customerByKey_.clear();
    config->requiresKeys_ = false;
    deliverToAll(dock::ConfigUpdated{config});
    EXPECT_EQ(call("/read/1", {{"T-Key", "Bearer k9"}, {"T-Customer", "own"}}).status_, 200);
    ASSERT_EQ(received_.size(), 1U);
    EXPECT_EQ(field(received_[0], "t-key"), "Bearer k9");
    EXPECT_EQ(field(received_[0], "t-customer"), "own");
}
