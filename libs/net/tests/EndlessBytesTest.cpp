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
constexpr Millis deadline(4000);

/** A bad message is to end long before its deadline. */
constexpr Millis soon(1000);

const std::string piece(16 * 1024, 'x');

std::string manyFields()
{
    std::string fields;
    for (int i = 0; i < 100; ++i)
        fields += "a: b\r\n";
    return fields;
}

/** A client with a budget, and a server that sends bytes without end. */
class EndlessAnswer : public testing::Test
{
protected:
    /** The end of a call whose server sends a beginning and then the same bytes again and again. */
    CallResult callAnsweredBy(const std::string &begin, const std::string &repeated)
    {
        std::optional<CallResult> result;
        client_.send(listener_.address(), {.headers_ = {{"id", "a"}}}, deadline,
                     [&result](CallResult ended) { result = std::move(ended); });
        const auto server = listener_.accept(reactor_);
        server.receiveUntil(reactor_, "\r\n\r\n");
        server.send(begin);
        const auto until = base::monotonicNow() + deadline;
        while (!result && base::monotonicNow() < until) {
            server.sendSome(repeated);
            reactor_.runFor(Millis(1));
            mostHeld_ = std::max(mostHeld_, budget_.held());
        }
        return result ? *result : CallResult();
    }

    void expectBrokenOffSoon(const std::string &begin, const std::string &repeated)
    {
        const auto began = base::monotonicNow();
        const auto result = callAnsweredBy(begin, repeated);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind_, FailureKind::Lost) << result.error().detail_;
        EXPECT_LT(base::monotonicNow() - began, soon);
        EXPECT_LE(mostHeld_, budgetBytes);
        EXPECT_EQ(budget_.held(), 0U);
    }

    net::Reactor reactor_;
    RawListener listener_;
    net::ByteBudget budget_{budgetBytes};
    net::HttpClient client_{reactor_, {.echoedField_ = "id", .budget_ = &budget_}};
    std::size_t mostHeld_ = 0;
};

/** A server with a budget, and callers that send bytes without end. */
class EndlessRequest : public testing::Test
{
protected:
    EndlessRequest()
    {
        server_ = std::move(*net::HttpServer::start(
                reactor_,
                {.listen_ = {"127.0.0.1", 0},
                 .budget_ = &budget_,
                 .withoutRoom_ = {.status_ = 503, .headers_ = {{"Retry-After", "2.5"}}}},
                [this](net::ExchangeId id, const net::HttpRequest &) {
                    server_->respond(id, {.body_ = "ok"});
                }));
    }

    /** What a caller gets who sends a beginning and then the same bytes again and again. */
    std::string answerTo(const std::string &begin, const std::string &repeated)
    {
        const auto caller = connect();
        caller.send(begin);
        std::string answer;
        const auto until = base::monotonicNow() + deadline;
        while (answer.empty() && base::monotonicNow() < until) {
            caller.sendSome(repeated);
            reactor_.runFor(Millis(1));
            answer = caller.received();
        }
        return answer;
    }

    RawSocket connect() const { return RawSocket::connectTo({"127.0.0.1", server_->port()}); }

    net::Reactor reactor_;
    net::ByteBudget budget_{budgetBytes};
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace

TEST_F(EndlessAnswer, aBodyWithoutLength)
{
    expectBrokenOffSoon("HTTP/1.1 200 OK\r\nid: a\r\n\r\n", piece);
}

TEST_F(EndlessAnswer, chunks)
{
    expectBrokenOffSoon("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "4000\r\n" + piece + "\r\n");
}

TEST_F(EndlessAnswer, aChunkExtension)
{
    expectBrokenOffSoon("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n1;e=",
                        piece);
}

TEST_F(EndlessAnswer, trailers)
{
    expectBrokenOffSoon("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                        manyFields());
}

TEST_F(EndlessAnswer, aHead)
{
    expectBrokenOffSoon("HTTP/1.1 200 OK\r\na: ", piece);
}

TEST_F(EndlessAnswer, fields)
{
    expectBrokenOffSoon("HTTP/1.1 200 OK\r\n", manyFields());
}

TEST_F(EndlessAnswer, aStatusLine)
{
    expectBrokenOffSoon("HTTP/1.1 200 ", piece);
}

TEST_F(EndlessAnswer, interimAnswers)
{
    expectBrokenOffSoon("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(EndlessAnswer, answersToOtherRequests)
{
    expectBrokenOffSoon("", "HTTP/1.1 200 OK\r\nid: z\r\nContent-Length: 5\r\n\r\nalien");
}

TEST_F(EndlessAnswer, surplusAfterAnAnswerIsNotKept)
{
    const auto result =
            callAnsweredBy("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\n\r\nown", piece);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body_, "own");
    EXPECT_EQ(budget_.held(), 0U);
}

TEST_F(EndlessAnswer, trailersAreNoHeaderFields)
{
    const auto result =
            callAnsweredBy("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nown\r\n0\r\nsigned: yes\r\n\r\n",
                           "");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body_, "own");
    EXPECT_EQ(net::headerValue(result->headers_, "signed"), "");
}

TEST_F(EndlessRequest, aBodyIsRefusedAsNotRunWithATimeToReturn)
{
    const auto answer = answerTo("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                 "4000\r\n" + piece + "\r\n");
    EXPECT_EQ(answer.find("HTTP/1.1 503 "), 0U) << answer;
    EXPECT_NE(answer.find("Retry-After: 2.5"), std::string::npos) << answer;
    EXPECT_EQ(budget_.refused(), 1U);
}

TEST_F(EndlessRequest, aChunkExtensionIsRefused)
{
    const auto answer =
            answerTo("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;e=", piece);
    EXPECT_EQ(answer.find("HTTP/1.1 400 "), 0U) << answer;
}

TEST_F(EndlessRequest, aHeadIsRefused)
{
    const auto answer = answerTo("GET / HTTP/1.1\r\na: ", piece);
    EXPECT_EQ(answer.find("HTTP/1.1 400 "), 0U) << answer;
}

// Many callers grow at the same time and are slower than the bound; a small request goes on.
TEST_F(EndlessRequest, aSmallRequestIsServedBesideManyLargeOnes)
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
    EXPECT_LE(budget_.held(), budgetBytes);
    const auto small = connect();
    small.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(small.receiveUntil(reactor_, "ok").find("HTTP/1.1 200 "), 0U);
}

// Reading ahead is bounded, so callers that send on and on while they are served cost little.
TEST_F(EndlessRequest, bytesSentAheadAreNotReadWithoutEnd)
{
    std::optional<net::ExchangeId> held;
    server_ = std::move(*net::HttpServer::start(
            reactor_, {.listen_ = {"127.0.0.1", 0}, .budget_ = &budget_},
            [&held](net::ExchangeId id, const net::HttpRequest &) { held = id; }));
    const auto caller = connect();
    caller.send("GET / HTTP/1.1\r\n\r\n");
    for (int i = 0; i < 200; ++i) {
        caller.sendSome(piece);
        reactor_.runFor(Millis(1));
    }
    ASSERT_TRUE(held);
    constexpr std::size_t oneRead = 64 * 1024; // may hold more than the request
    constexpr std::size_t sentAhead = 4 * 1024;
    EXPECT_LE(budget_.held(), oneRead + sentAhead);
}

namespace {

/** A server for other daemons with a budget, and one of these that sends just the bytes it is told.
 */
class EndlessStream : public testing::Test
{
protected:
    EndlessStream()
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

TEST_F(EndlessStream, isResetAsNotHandled)
{
    const auto peer = connect();
    peer.send(http2::preface() + http2::requestHead());
    // A reset of stream 1 with the code for streams that were not handled.
    const std::string reset = http2::frame(http2::resetFrame, 0, 1, std::string("\0\0\0\7", 4));
    std::string received;
    for (int i = 0; i < 2000 && received.find(reset) == std::string::npos; ++i) {
        peer.sendSome(http2::frame(http2::dataFrame, 0, 1, std::string(16 * 1024, 'x')));
        reactor_.runFor(Millis(1));
        received += peer.received();
    }
    EXPECT_NE(received.find(reset), std::string::npos)
            << testing::PrintToString(received.substr(0, 200));
    EXPECT_EQ(requests_, 0);
    EXPECT_EQ(budget_.held(), 0U);
}

TEST_F(EndlessStream, givesItsBytesBackWhenItsConnectionEnds)
{
    auto peer = connect();
    peer.send(http2::preface() + http2::requestHead()
              + http2::frame(http2::dataFrame, 0, 1, std::string(1000, 'x')));
    reactor_.runFor(Millis(50));
    EXPECT_GE(budget_.held(), 1000U);
    peer.close();
    reactor_.runFor(Millis(50));
    EXPECT_EQ(budget_.held(), 0U);
}
