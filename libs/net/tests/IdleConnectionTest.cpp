#include <vector>

#include <gtest/gtest.h>
#include <malloc.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

#include "RawSocket.h"

using base::Millis;

namespace {

constexpr int connectionCount = 20;

/** Far below the size of all messages, which is 5 MiB. */
constexpr std::size_t maxRetainedBytes = 1024 * 1024;

const std::string endOfBody = "END";
const std::string largeBody = std::string(256 * 1024, 'x') + endOfBody;

/** Memory that this process has allocated; always 0 with the address sanitizer. */
std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// Idle connections kept their last message, which no budget counts.
TEST(IdleConnection, ofAClientKeepsNoRequest)
{
    net::Reactor reactor;
    const RawListener listener;
    net::HttpClient client(reactor, {});
    const auto before = allocatedBytes();
    int answered = 0;
    for (int i = 0; i < connectionCount; ++i)
        client.send(listener.address(), {.method_ = "POST", .body_ = largeBody}, Millis(5000),
                    [&answered](const net::CallResult &result) { answered += result ? 1 : 0; });
    std::vector<RawSocket> servers;
    for (int i = 0; i < connectionCount; ++i) {
        servers.push_back(listener.accept(reactor));
        servers.back().receiveUntil(reactor, endOfBody);
        servers.back().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    while (answered < connectionCount)
        reactor.runFor(Millis(1));
    EXPECT_LT(allocatedBytes(), before + maxRetainedBytes);
}

TEST(IdleConnection, ofAServerKeepsNoResponse)
{
    net::Reactor reactor;
    std::unique_ptr<net::HttpServer> server =
            std::move(*net::HttpServer::start(reactor, {.listen_ = {"127.0.0.1", 0}},
                                              [&server](net::ExchangeId id, net::HttpRequest) {
                                                  server->respond(id, {.body_ = largeBody});
                                              }));
    const auto before = allocatedBytes();
    std::vector<RawSocket> callers;
    for (int i = 0; i < connectionCount; ++i) {
        callers.push_back(RawSocket::connectTo({"127.0.0.1", server->port()}));
        callers.back().send("GET / HTTP/1.1\r\n\r\n");
        callers.back().receiveUntil(reactor, endOfBody);
    }
    EXPECT_LT(allocatedBytes(), before + maxRetainedBytes);
}
