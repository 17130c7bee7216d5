#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/PeerClient.h>
#include <net/PeerServer.h>
#include <net/Reactor.h>

#include <algorithm>
#include <map>
#include <optional>

#include <gtest/gtest.h>

#include "Http2Frame.h"
#include "RawSocket.h"

using base::Millis;
using model::Address;
using net::CallResult;
using net::FailureKind;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr Millis callTimeout(20000);

net::HttpServerOptions anyPort()
{
    return {.listen_ = {"127.0.0.1", 0}};
}

/** Runs the reactor until the condition holds; a hang is ended by the test's time limit. */
template<typename Condition>
void runUntil(net::Reactor &reactor, Condition condition)
{
    while (!condition())
        reactor.runFor(Millis(1));
}

HttpRequest echoRequest(std::size_t size)
{
    HttpRequest request{.method_ = "POST", .target_ = "/echo/a%20b?x=1&y"};
    request.headers_ = {{"x-twice", "one"}, {"x-twice", "two"}};
    request.body_.assign(size, 'q');
    return request;
}

HttpResponse echo(const HttpRequest &request)
{
    HttpResponse response{.status_ = 418, .headers_ = {{"x-target", request.target_}}};
    for (const auto &header : request.headers_) {
        if (net::equalsIgnoringCase(header.name_, "x-twice"))
            response.headers_.push_back(header);
    }
    response.body_ = request.body_;
    return response;
}

/** Server and client types of one transport. */
template<typename Server, typename Client>
struct Transport
{
    using ServerType = Server;
    using ClientType = Client;
};

template<typename T>
class Calls : public testing::Test
{
protected:
    void serve(net::HttpServer::RequestHandler handler)
    {
        auto started = T::ServerType::start(reactor_, anyPort(), std::move(handler),
                                            [this](net::ExchangeId) { ++cancellations_; });
        ASSERT_TRUE(started);
        server_ = std::move(*started);
        address_ = {"127.0.0.1", server_->port()};
    }

    CallResult call(HttpRequest request, Millis timeout = callTimeout)
    {
        std::optional<CallResult> result;
        client_.send(address_, std::move(request), timeout,
                     [&result](CallResult response) { result = std::move(response); });
        runUntil(reactor_, [&result] { return result.has_value(); });
        return *result;
    }

    net::Reactor reactor_;
    std::unique_ptr<typename T::ServerType> server_;
    Address address_;
    typename T::ClientType client_{reactor_};
    int cancellations_ = 0;
};

using Transports = testing::Types<Transport<net::HttpServer, net::HttpClient>,
                                  Transport<net::PeerServer, net::PeerClient>>;
TYPED_TEST_SUITE(Calls, Transports);

} // namespace

TYPED_TEST(Calls, carriesBodiesOfAnySizeAndRepeatedHeaders)
{
    this->serve([this](net::ExchangeId id, HttpRequest request) {
        this->server_->respond(id, echo(request));
    });
    for (const std::size_t size : {0UL, 1UL, 70'000UL, 5'000'000UL}) {
        const auto request = echoRequest(size);
        const auto response = this->call(request);
        ASSERT_TRUE(response) << response.error().detail_;
        EXPECT_EQ(response->status_, 418);
        EXPECT_EQ(response->body_, request.body_);
        EXPECT_EQ(net::headerValue(response->headers_, "x-target"), request.target_);
        const auto twice = std::ranges::count_if(response->headers_, [](const net::Header &header) {
            return net::equalsIgnoringCase(header.name_, "x-twice");
        });
        EXPECT_EQ(twice, 2);
    }
}

TYPED_TEST(Calls, matchesResponsesSentOutOfOrder)
{
    std::vector<std::pair<net::ExchangeId, HttpRequest>> held;
    this->serve([&held](net::ExchangeId id, HttpRequest request) {
        held.emplace_back(id, std::move(request));
    });
    std::map<int, std::string> responses;
    for (int i = 0; i < 20; ++i) {
        HttpRequest request{.method_ = "POST", .target_ = "/", .body_ = std::to_string(i)};
        this->client_.send(
                this->address_, request, callTimeout,
                [&responses, i](CallResult response) { responses[i] = response->body_; });
    }
    runUntil(this->reactor_, [&held] { return held.size() == 20; });
    for (auto entry = held.rbegin(); entry != held.rend(); ++entry)
        this->server_->respond(entry->first, {.body_ = entry->second.body_});
    runUntil(this->reactor_, [&responses] { return responses.size() == 20; });
    for (const auto &[i, body] : responses)
        EXPECT_EQ(body, std::to_string(i));
}

TYPED_TEST(Calls, cancellationReachesTheServer)
{
    bool hasArrived = false;
    this->serve([&hasArrived](net::ExchangeId, HttpRequest) { hasArrived = true; });
    const auto id = this->client_.send(this->address_, echoRequest(10), callTimeout,
                                       [](CallResult) { FAIL() << "the call was cancelled"; });
    runUntil(this->reactor_, [&hasArrived] { return hasArrived; });
    this->client_.cancel(id);
    runUntil(this->reactor_, [this] { return this->cancellations_ == 1; });
}

TYPED_TEST(Calls, unresponsiveServerTimesOut)
{
    this->serve([](net::ExchangeId, HttpRequest) {});
    const auto response = this->call(echoRequest(1), Millis(30));
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().kind_, FailureKind::TimedOut);
}

TYPED_TEST(Calls, callToAClosedPortIsNotSent)
{
    this->serve([](net::ExchangeId, HttpRequest) {});
    this->server_.reset();
    const auto response = this->call(echoRequest(1));
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().kind_, FailureKind::NotSent);
}

TYPED_TEST(Calls, callIsLostWhenTheServerStops)
{
    bool hasArrived = false;
    this->serve([&hasArrived](net::ExchangeId, HttpRequest) { hasArrived = true; });
    std::optional<CallResult> result;
    this->client_.send(this->address_, echoRequest(1), callTimeout,
                       [&result](CallResult response) { result = std::move(response); });
    runUntil(this->reactor_, [&hasArrived] { return hasArrived; });
    this->server_.reset();
    runUntil(this->reactor_, [&result] { return result.has_value(); });
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error().kind_, FailureKind::Lost);
}

TYPED_TEST(Calls, reportsAPortInUse)
{
    this->serve([](net::ExchangeId, HttpRequest) {});
    const net::HttpServerOptions options{.listen_ = this->address_};
    const auto second = TypeParam::ServerType::start(this->reactor_, options,
                                                     [](net::ExchangeId, HttpRequest) {}, {});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code_, "listen-failed");
    EXPECT_NE(second.error().message_.find("Address already in use"), std::string::npos);
}

namespace {

/** Many simultaneously cancelled calls, followed by others on the same connection. */
class CancelledCalls : public testing::Test
{
protected:
    static constexpr int cancelled = 1500;
    static constexpr int kept = 50;

    void SetUp() override
    {
        auto started = net::PeerServer::start(
                reactor_, anyPort(),
                [this](net::ExchangeId id, const HttpRequest &request) {
                    ++arrived_[request.target_];
                    if (request.target_.starts_with("/kept"))
                        server_->respond(id, {});
                },
                [](net::ExchangeId) {});
        ASSERT_TRUE(started);
        server_ = std::move(*started);
        const Address address = {"127.0.0.1", server_->port()};
        std::vector<net::CallId> calls;
        for (int i = 0; i < cancelled; ++i)
            calls.push_back(client_.send(address, {.target_ = "/cancelled" + std::to_string(i)},
                                         callTimeout, [](const CallResult &) {}));
        runUntil(reactor_, [this] { return arrived_.size() == cancelled; });
        for (const auto id : calls)
            client_.cancel(id);
        for (int i = 0; i < kept; ++i) {
            const auto target = "/kept" + std::to_string(i);
            client_.send(address, {.target_ = target}, callTimeout,
                         [this, target](CallResult result) { results_[target] = result; });
        }
        runUntil(reactor_, [this] { return results_.size() == kept; });
    }

    net::Reactor reactor_;
    net::PeerClient client_{reactor_};
    std::unique_ptr<net::PeerServer> server_;
    std::map<std::string, int> arrived_;
    std::map<std::string, CallResult> results_;
};

} // namespace

TEST_F(CancelledCalls, receivedRequestsAreNotReportedAsNotSent)
{
    for (const auto &[target, result] : results_) {
        const bool isReportedNotSent = !result && result.error().kind_ == FailureKind::NotSent;
        EXPECT_FALSE(isReportedNotSent && arrived_.contains(target)) << target;
    }
}

TEST_F(CancelledCalls, doNotFailOtherCallsOnTheConnection)
{
    for (const auto &[target, result] : results_)
        EXPECT_TRUE(result) << target;
}

// The last stream id in GOAWAY states what nghttp2 had read, not which requests have run.
TEST(PeerClient, writtenRequestIsLostAfterGoAwayWithAnEarlierStream)
{
    net::Reactor reactor;
    RawListener listener;
    net::PeerClient client(reactor);
    std::optional<CallResult> result;
    client.send(listener.address(), {}, callTimeout,
                [&result](CallResult ended) { result = std::move(ended); });
    const auto server = listener.accept(reactor);
    server.receiveUntil(reactor, "PRI");
    const std::string lastStreamAndError(8, '\0');
    server.send(http2::frame(http2::settingsFrame, 0, 0, "")
                + http2::frame(http2::goAwayFrame, 0, 0, lastStreamAndError));
    runUntil(reactor, [&result] { return result.has_value(); });
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error().kind_, FailureKind::Lost);
}

namespace {

/** How a server ends a response without the end of its stream. */
enum class EndOfResponse {
    StreamReset, ///< without an error, as a server does that needs no more of the request
    ConnectionClosed,
    ConnectionReset,
};

/** Result of a long upload whose server sends a part of a response at once. */
CallResult uploadWithPartialResponse(EndOfResponse end)
{
    constexpr std::size_t uploadBytes = 16 * 1024 * 1024;
    net::Reactor reactor;
    RawListener listener;
    net::PeerClient client(reactor);
    std::optional<CallResult> result;
    client.send(listener.address(), {.method_ = "POST", .body_ = std::string(uploadBytes, 'x')},
                callTimeout, [&result](CallResult ended) { result = std::move(ended); });
    auto server = listener.accept(reactor);
    server.receiveUntil(reactor, "PRI");
    server.send(http2::frame(http2::settingsFrame, 0, 0, "") + http2::responseHead()
                + http2::frame(http2::dataFrame, 0, 1, "part of the bo"));
    switch (end) {
    case EndOfResponse::StreamReset:
        server.send(http2::frame(http2::rstStreamFrame, 0, 1, std::string(4, '\0')));
        break;
    case EndOfResponse::ConnectionClosed:
        server.shutdownOutput();
        break;
    case EndOfResponse::ConnectionReset:
        server.reset();
        break;
    }
    runUntil(reactor, [&result] { return result.has_value(); });
    return *result;
}

} // namespace

TEST(PeerClient, responseWithoutEndOfStreamIsLostDuringAnUpload)
{
    for (const auto end : {EndOfResponse::StreamReset, EndOfResponse::ConnectionClosed,
                           EndOfResponse::ConnectionReset}) {
        const auto result = uploadWithPartialResponse(end);
        ASSERT_FALSE(result) << result->body_;
        EXPECT_EQ(result.error().kind_, FailureKind::Lost);
    }
}

TEST(Reactor, canBeDestroyedWhileAWakeUpIsPending)
{
    net::Reactor reactor;
    reactor.post([] {});
    reactor.stop();
}
