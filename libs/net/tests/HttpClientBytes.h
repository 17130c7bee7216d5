#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>

#include "RawSocket.h"

/** A client that uses the field "id" as request id, and a server that sends raw bytes. */
class HttpClientBytes : public testing::Test
{
protected:
    static constexpr base::Millis callTimeout{5000};

    /** Time for the client to fill the socket buffers. */
    static constexpr base::Millis fillTime{50};

    void start(net::HttpRequest request = {.headers_ = {{"id", "a"}}})
    {
        result_.reset();
        client_.send(listener_.address(), std::move(request), callTimeout,
                     [this](net::CallResult result) { result_ = std::move(result); });
    }

    /** A request that by default is far larger than the socket buffers. */
    static net::HttpRequest upload(std::size_t bytes = 16 * 1024 * 1024)
    {
        return {.method_ = "POST", .headers_ = {{"id", "a"}}, .body_ = std::string(bytes, 'x')};
    }

    net::CallResult result()
    {
        while (!result_)
            reactor_.runFor(base::Millis(1));
        return *result_;
    }

    /** A connection on which one call has completed. */
    RawSocket usedConnection()
    {
        start();
        auto server = listener_.accept(reactor_);
        server.receiveUntil(reactor_, "\r\n\r\n");
        server.send("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 0\r\n\r\n");
        EXPECT_TRUE(result());
        return server;
    }

    net::Reactor reactor_;
    RawListener listener_;
    net::HttpClient client_{reactor_, {.echoedField_ = "id"}};
    std::optional<net::CallResult> result_;
};
