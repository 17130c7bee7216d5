#include <functional>
#include <optional>

#include <base/Clock.h>
#include <gtest/gtest.h>
#include <net/ByteBudget.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/PeerServer.h>
#include <net/Reactor.h>

#include "Http2Frame.h"
#include "RawSocket.h"

using base::Millis;
using net::CallResult;
using net::FailureKind;

namespace {

constexpr std::size_t budgetBytes = 1'000'000;
constexpr Millis callTimeout(4000);

/** An oversized response must fail the call long before its timeout. */
constexpr Millis maxFailureDelay(1000);

const std::string chunk(16 * 1024, 'x');

std::string manyFields()
{
    std::string fields;
    for (int i = 0; i < 100; ++i)
        fields += "a: b\r\n";
    return fields;
}

/** A client with a budget, and a server that sends an unbounded response. */
class UnboundedResponse : public testing::Test
{
protected:
    /** Result of a call whose server sends `prefix`, then `repeated` over and over. */
    CallResult callWithResponse(const std::string &prefix, const std::string &repeated)
    {
        std::optional<CallResult> result;
        client_.send(listener_.address(), {.headers_ = {{"id", "a"}}}, callTimeout,
                     [&result](CallResult callResult) { result = std::move(callResult); });
        const auto server = listener_.accept(reactor_);
        server.receiveUntil(reactor_, "\r\n\r\n");
        server.send(prefix);
        const auto until = base::monotonicNow() + callTimeout;
        while (!result && base::monotonicNow() < until) {
            server.sendSome(repeated);
            reactor_.runFor(Millis(1));
            peakReservedBytes_ = std::max(peakReservedBytes_, budget_.reservedBytes());
        }
        return result ? *result : CallResult();
    }

    void expectEarlyFailure(const std::string &prefix, const std::string &repeated)
    {
        const auto startTime = base::monotonicNow();
        const auto result = callWithResponse(prefix, repeated);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind_, FailureKind::Lost) << result.error().detail_;
        EXPECT_LT(base::monotonicNow() - startTime, maxFailureDelay);
        EXPECT_LE(peakReservedBytes_, budgetBytes);
        EXPECT_EQ(budget_.reservedBytes(), 0U);
    }

    net::Reactor reactor_;
    RawListener listener_;
    net::ByteBudget budget_{budgetBytes};
    net::HttpClient client_{reactor_, {.echoedField_ = "id", .budget_ = &budget_}};
    std::size_t peakReservedBytes_ = 0;
};

/** A server with a budget, and callers that send unbounded requests. */
class UnboundedRequest : public testing::Test
{
protected:
    UnboundedRequest()
    {
        server_ = std::move(*net::HttpServer::start(
                reactor_,
                {.listen_ = {"127.0.0.1", 0},
                 .budget_ = &budget_,
                 .overBudgetResponse_ = {.status_ = 503, .headers_ = {{"Retry-After", "2.5"}}}},
                [this](net::ExchangeId id, const net::HttpRequest &) {
                    server_->respond(id, {.body_ = "ok"});
                }));
    }

    /** Response to a caller that sends `prefix`, then `repeated` over and over. */
    std::string responseTo(const std::string &prefix, const std::string &repeated)
    {
        const auto caller = connect();
        caller.send(prefix);
        std::string response;
        const auto until = base::monotonicNow() + callTimeout;
        while (response.empty() && base::monotonicNow() < until) {
            caller.sendSome(repeated);
            reactor_.runFor(Millis(1));
            response = caller.receiveAvailable();
        }
        return response;
    }

    RawSocket connect() const { return RawSocket::connectTo({"127.0.0.1", server_->port()}); }

    net::Reactor reactor_;
    net::ByteBudget budget_{budgetBytes};
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace

TEST_F(UnboundedResponse, bodyWithoutLengthIsLost)
{
    expectEarlyFailure("HTTP/1.1 200 OK\r\nid: a\r\n\r\n", chunk);
}

TEST_F(UnboundedResponse, chunkedBodyIsLost)
{
    expectEarlyFailure("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "4000\r\n" + chunk + "\r\n");
}

TEST_F(UnboundedResponse, chunkExtensionIsLost)
{
    expectEarlyFailure("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n1;e=", chunk);
}

TEST_F(UnboundedResponse, trailersAreLost)
{
    expectEarlyFailure("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                       manyFields());
}

TEST_F(UnboundedResponse, headerFieldIsLost)
{
    expectEarlyFailure("HTTP/1.1 200 OK\r\na: ", chunk);
}

TEST_F(UnboundedResponse, headerFieldsAreLost)
{
    expectEarlyFailure("HTTP/1.1 200 OK\r\n", manyFields());
}

TEST_F(UnboundedResponse, statusLineIsLost)
{
    expectEarlyFailure("HTTP/1.1 200 ", chunk);
}

TEST_F(UnboundedResponse, interimResponsesAreLost)
{
    expectEarlyFailure("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(UnboundedResponse, responsesToOtherRequestsAreLost)
{
    expectEarlyFailure("", "HTTP/1.1 200 OK\r\nid: z\r\nContent-Length: 5\r\n\r\nother");
}

TEST_F(UnboundedResponse, bytesAfterAResponseAreDiscarded)
{
    const auto result =
            callWithResponse("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\n\r\nown", chunk);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body_, "own");
    EXPECT_EQ(budget_.reservedBytes(), 0U);
}

TEST_F(UnboundedResponse, trailersAreNotHeaderFields)
{
    const auto result =
            callWithResponse("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nown\r\n0\r\nsigned: yes\r\n\r\n",
                             "");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body_, "own");
    EXPECT_EQ(net::headerValue(result->headers_, "signed"), "");
}

TEST_F(UnboundedRequest, bodyIsRefusedWithRetryAfter)
{
    const auto response = responseTo("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                     "4000\r\n" + chunk + "\r\n");
    EXPECT_EQ(response.find("HTTP/1.1 503 "), 0U) << response;
    EXPECT_NE(response.find("Retry-After: 2.5"), std::string::npos) << response;
    EXPECT_EQ(budget_.refusalCount(), 1U);
}

TEST_F(UnboundedRequest, chunkExtensionIsRefused)
{
    const auto response =
            responseTo("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;e=", chunk);
    EXPECT_EQ(response.find("HTTP/1.1 400 "), 0U) << response;
}

TEST_F(UnboundedRequest, headerFieldIsRefused)
{
    const auto response = responseTo("GET / HTTP/1.1\r\na: ", chunk);
    EXPECT_EQ(response.find("HTTP/1.1 400 "), 0U) << response;
}

// 50 callers send large requests slowly, all at the same time; a small request is still served.
TEST_F(UnboundedRequest, smallRequestIsServedBesideManyLargeOnes)
{
    constexpr int count = 50;
    std::vector<RawSocket> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(connect());
        callers.back().send("POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
    }
    for (int round = 0; round < 20; ++round) {
        for (const auto &caller : callers)
            caller.sendSome(std::string(1024, 'x'));
        reactor_.runFor(Millis(1));
    }
    EXPECT_LE(budget_.reservedBytes(), budgetBytes);
    const auto small = connect();
    small.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(small.receiveUntil(reactor_, "ok").find("HTTP/1.1 200 "), 0U);
}

// Pipelined input is limited, so that callers that keep sending while served use little memory.
TEST_F(UnboundedRequest, pipelinedBytesAreReadUpToTheLimit)
{
    std::optional<net::ExchangeId> heldExchange;
    server_ = std::move(*net::HttpServer::start(
            reactor_, {.listen_ = {"127.0.0.1", 0}, .budget_ = &budget_},
            [&heldExchange](net::ExchangeId id, const net::HttpRequest &) { heldExchange = id; }));
    const auto caller = connect();
    caller.send("GET / HTTP/1.1\r\n\r\n");
    for (int i = 0; i < 200; ++i) {
        caller.sendSome(chunk);
        reactor_.runFor(Millis(1));
    }
    ASSERT_TRUE(heldExchange);
    constexpr std::size_t oneRead = 64 * 1024; // may include more than the request
    constexpr std::size_t maxPipelinedBytes = 4 * 1024;
    EXPECT_LE(budget_.reservedBytes(), oneRead + maxPipelinedBytes);
}

namespace {

/** An HTTP/2 server with a budget, and a peer that sends raw frames. */
class UnboundedStream : public testing::Test
{
protected:
    UnboundedStream()
    {
        server_ = std::move(*net::PeerServer::start(
                reactor_, {.listen_ = {"127.0.0.1", 0}, .budget_ = &budget_},
                [this](net::ExchangeId, const net::HttpRequest &) { ++requests_; }, {}));
    }

    RawSocket connect() const { return RawSocket::connectTo({"127.0.0.1", server_->port()}); }

    net::ByteBudget budget_{budgetBytes};
    net::Reactor reactor_;
    std::unique_ptr<net::PeerServer> server_;
    int requests_ = 0;
};

} // namespace

TEST_F(UnboundedStream, isResetWithRefusedStream)
{
    const auto peer = connect();
    peer.send(http2::preface() + http2::requestHead());
    // RST_STREAM of stream 1 with REFUSED_STREAM.
    const std::string reset = http2::frame(http2::rstStreamFrame, 0, 1, std::string("\0\0\0\7", 4));
    std::string received;
    for (int i = 0; i < 2000 && received.find(reset) == std::string::npos; ++i) {
        peer.sendSome(http2::frame(http2::dataFrame, 0, 1, std::string(16 * 1024, 'x')));
        reactor_.runFor(Millis(1));
        received += peer.receiveAvailable();
    }
    EXPECT_NE(received.find(reset), std::string::npos)
            << testing::PrintToString(received.substr(0, 200));
    EXPECT_EQ(requests_, 0);
    EXPECT_EQ(budget_.reservedBytes(), 0U);
}

TEST_F(UnboundedStream, reservationIsReleasedWhenTheConnectionCloses)
{
    auto peer = connect();
    peer.send(http2::preface() + http2::requestHead()
              + http2::frame(http2::dataFrame, 0, 1, std::string(1000, 'x')));
    reactor_.runFor(Millis(50));
    EXPECT_GE(budget_.reservedBytes(), 1000U);
    peer.close();
    reactor_.runFor(Millis(50));
    EXPECT_EQ(budget_.reservedBytes(), 0U);
}
