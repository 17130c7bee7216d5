#include <net/HttpServer.h>

#include <gtest/gtest.h>
#include <net/Reactor.h>

#include "RawSocket.h"

using base::Millis;
using net::HttpRequest;

namespace {

/** A server whose responses echo method, target and body, and a caller that sends raw bytes. */
class HttpServerBytes : public testing::Test
{
protected:
    void serve(net::HttpServerOptions options = {})
    {
        options.listen_ = {"127.0.0.1", 0};
        server_ = std::move(*net::HttpServer::start(
                reactor_, options,
                [this](net::ExchangeId id, HttpRequest request) {
                    ++requests_;
                    if (holdsRequests_) {
                        heldExchange_ = id;
                        return;
                    }
                    server_->respond(
                            id, {.body_ = request.method_ + request.target_ + request.body_ + "|"});
                },
                [this](net::ExchangeId id) { cancelledExchange_ = id; }));
        address_ = {"127.0.0.1", server_->port()};
    }

    void runFor(Millis time) { reactor_.runFor(time); }

    net::Reactor reactor_;
    std::unique_ptr<net::HttpServer> server_;
    model::Address address_;
    int requests_ = 0;
    bool holdsRequests_ = false;
    net::ExchangeId heldExchange_ = 0;
    net::ExchangeId cancelledExchange_ = 0;
};

} // namespace

TEST_F(HttpServerBytes, readsAChunkedBodySentInPieces)
{
    serve();
    const auto caller = RawSocket::connectTo(address_);
    for (const auto *piece : {"POST /a?b HTTP/1.1\r\nTransfer-", "Encoding: chunked\r\n\r\n3\r\nab",
                              "c\r\n2;x=y\r\nde\r\n0\r", "\n\r\n"}) {
        caller.send(piece);
        runFor(Millis(5));
    }
    const auto response = caller.receiveUntil(reactor_, "|");
    EXPECT_NE(response.find("HTTP/1.1 200 OK\r\n"), std::string::npos);
    EXPECT_NE(response.find("POST/a?babcde|"), std::string::npos);
}

TEST_F(HttpServerBytes, answersPipelinedRequestsInOrder)
{
    serve();
    const auto caller = RawSocket::connectTo(address_);
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    const auto responses = caller.receiveUntil(reactor_, "/3|");
    EXPECT_LT(responses.find("/1|"), responses.find("/2|"));
    EXPECT_LT(responses.find("/2|"), responses.find("/3|"));
}

TEST_F(HttpServerBytes, sends100ContinueWhenExpected)
{
    serve();
    const auto caller = RawSocket::connectTo(address_);
    caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_EQ(caller.receiveUntil(reactor_, "\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("ok");
    EXPECT_NE(caller.receiveUntil(reactor_, "|").find("POST/ok|"), std::string::npos);
}

TEST_F(HttpServerBytes, rejectsAMalformedRequestAndCloses)
{
    serve();
    const auto caller = RawSocket::connectTo(address_);
    caller.send("this is no request\r\n\r\n");
    EXPECT_TRUE(caller.receiveUntil(reactor_, "\r\n\r\n").starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(caller.isClosed(reactor_));
    EXPECT_EQ(requests_, 0);
}

TEST_F(HttpServerBytes, rejectsABodyOverTheLimitAndCloses)
{
    serve({.maxBodyBytes_ = 10});
    const auto caller = RawSocket::connectTo(address_);
    caller.send("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    EXPECT_TRUE(caller.receiveUntil(reactor_, "\r\n\r\n").starts_with("HTTP/1.1 413 "));
    caller.send("01234567890");
    EXPECT_TRUE(caller.isClosed(reactor_));
    EXPECT_EQ(requests_, 0);
}

TEST_F(HttpServerBytes, closesOnConnectionClose)
{
    serve();
    const auto caller = RawSocket::connectTo(address_);
    caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_NE(caller.receiveUntil(reactor_, "|").find("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE(caller.isClosed(reactor_));
}

TEST_F(HttpServerBytes, closesAfterTheResponseWhenRequested)
{
    serve();
    server_->closeAfterResponses();
    const auto caller = RawSocket::connectTo(address_);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_NE(caller.receiveUntil(reactor_, "|").find("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE(caller.isClosed(reactor_));
}

TEST_F(HttpServerBytes, responseToHeadHasNoBody)
{
    serve();
    const auto caller = RawSocket::connectTo(address_);
    caller.send("HEAD / HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
    const auto responses = caller.receiveUntil(reactor_, "/next|");
    EXPECT_NE(responses.find("Content-Length: 6\r\n"), std::string::npos);
    EXPECT_EQ(responses.find("HEAD/|"), std::string::npos);
}

TEST_F(HttpServerBytes, reportsACallerThatDisconnectsWhileItsRequestIsServed)
{
    serve();
    holdsRequests_ = true;
    auto caller = RawSocket::connectTo(address_);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    while (heldExchange_ == 0)
        runFor(Millis(1));
    caller.close();
    while (cancelledExchange_ == 0)
        runFor(Millis(1));
    EXPECT_EQ(cancelledExchange_, heldExchange_);
    server_->respond(heldExchange_, {});
}

TEST_F(HttpServerBytes, deliversALargeResponseToASlowReader)
{
    constexpr std::size_t size = 8 * 1024 * 1024;
    serve();
    holdsRequests_ = true;
    const auto caller = RawSocket::connectTo(address_);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    while (heldExchange_ == 0)
        runFor(Millis(1));
    server_->respond(heldExchange_, {.body_ = std::string(size, 'x') + "end"});
    runFor(Millis(50));
    EXPECT_GT(caller.receiveUntil(reactor_, "end").size(), size);
}

TEST_F(HttpServerBytes, closesTheLongestIdleConnectionAtTheConnectionLimit)
{
    serve({.maxConnections_ = 2});
    const auto first = RawSocket::connectTo(address_);
    first.send("GET /1 HTTP/1.1\r\n\r\n");
    first.receiveUntil(reactor_, "/1|");
    const auto second = RawSocket::connectTo(address_);
    second.send("GET /2 HTTP/1.1\r\n\r\n");
    second.receiveUntil(reactor_, "/2|");
    const auto third = RawSocket::connectTo(address_);
    third.send("GET /3 HTTP/1.1\r\n\r\n");
    EXPECT_NE(third.receiveUntil(reactor_, "/3|").find("/3|"), std::string::npos);
    EXPECT_TRUE(first.isClosed(reactor_));
    second.send("GET /4 HTTP/1.1\r\n\r\n");
    EXPECT_NE(second.receiveUntil(reactor_, "/4|").find("/4|"), std::string::npos);
}

TEST_F(HttpServerBytes, connectionWithARequestInProgressIsNotEvicted)
{
    serve({.maxConnections_ = 1});
    holdsRequests_ = true;
    const auto first = RawSocket::connectTo(address_);
    first.send("GET /1 HTTP/1.1\r\n\r\n");
    while (heldExchange_ == 0)
        runFor(Millis(1));
    holdsRequests_ = false;
    const auto second = RawSocket::connectTo(address_);
    second.send("GET /2 HTTP/1.1\r\n\r\n");
    runFor(Millis(50));
    EXPECT_EQ(cancelledExchange_, 0U);
    server_->respond(heldExchange_, {.body_ = "held|"});
    EXPECT_NE(first.receiveUntil(reactor_, "held|").find("held|"), std::string::npos);
    EXPECT_NE(second.receiveUntil(reactor_, "/2|").find("/2|"), std::string::npos);
}

TEST_F(HttpServerBytes, closesAConnectionWithoutProgress)
{
    serve({.idleTimeout_ = Millis(100)});
    const auto caller = RawSocket::connectTo(address_);
    caller.send("GET / HTTP/1.1\r\nX: ");
    runFor(Millis(1500));
    EXPECT_TRUE(caller.isClosed(reactor_));
    EXPECT_EQ(requests_, 0);
}
