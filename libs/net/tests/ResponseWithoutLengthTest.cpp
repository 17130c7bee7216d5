#include "HttpClientBytes.h"

using base::Millis;
using net::CallResult;
using net::FailureKind;

namespace {

const std::string successHead = "HTTP/1.1 200 OK\r\nid: a\r\n\r\n";

/** Responses that end with their connection, to requests that may still be on their way. */
class ResponseWithoutLength : public HttpClientBytes
{
protected:
    /** Starts the request; the client has filled the socket buffers if it is large. */
    RawSocket startUpload(net::HttpRequest request = upload())
    {
        start(std::move(request));
        auto server = listener_.accept(reactor_);
        reactor_.runFor(fillTime);
        return server;
    }

    /** Reads what has arrived, without letting the client send more. */
    static void readAvailable(const RawSocket &server)
    {
        while (!server.receiveAvailable().empty()) {
        }
    }

    void expectLost()
    {
        const auto response = result();
        ASSERT_FALSE(response) << response->status_ << " " << response->body_;
        EXPECT_EQ(response.error().kind_, FailureKind::Lost);
    }

    void expectBody(const std::string &body)
    {
        const auto response = result();
        ASSERT_TRUE(response) << response.error().detail_;
        EXPECT_EQ(response->status_, 200);
        EXPECT_EQ(response->body_, body);
    }
};

} // namespace

// With nothing unread, close() ends the stream in order; a reset follows once more bytes arrive.
TEST_F(ResponseWithoutLength, isLostWhenTheServerClosesDuringTheUpload)
{
    for (const auto pause : {Millis(0), Millis(20)}) {
        auto server = startUpload();
        server.send(successHead + "part of the bo");
        if (pause > Millis(0))
            reactor_.runFor(pause);
        readAvailable(server);
        server.close();
        expectLost();
    }
}

TEST_F(ResponseWithoutLength, isLostWhenTheServerEndsItsOutputAndResetsDuringTheUpload)
{
    for (const auto pause : {Millis(0), Millis(4), Millis(40)}) {
        auto server = startUpload();
        server.send(successHead + "part of the bo");
        server.shutdownOutput();
        if (pause > Millis(0))
            reactor_.runFor(pause);
        server.reset();
        expectLost();
    }
}

// The socket accepts the whole request, but the server does not receive all of it.
TEST_F(ResponseWithoutLength, isLostWhenTheServerResetsBeforeItHasReceivedTheRequest)
{
    constexpr std::size_t acceptedBytes = 600 * 1024;
    for (const auto pause : {Millis(0), Millis(40)}) {
        auto server = startUpload(upload(acceptedBytes));
        server.send(successHead + "part of the bo");
        server.shutdownOutput();
        if (pause > Millis(0))
            reactor_.runFor(pause);
        EXPECT_FALSE(result_);
        server.reset();
        expectLost();
    }
}

TEST_F(ResponseWithoutLength, isCompleteWhenTheServerReadsTheUploadAfterItsResponse)
{
    auto server = startUpload();
    server.send(successHead + "the whole body");
    server.shutdownOutput();
    reactor_.runFor(fillTime);
    EXPECT_FALSE(result_);
    while (!result_) {
        readAvailable(server);
        reactor_.runFor(Millis(1));
    }
    expectBody("the whole body");
    EXPECT_TRUE(server.isClosed(reactor_));
}

TEST_F(ResponseWithoutLength, isCompleteWhenTheServerResetsAfterItHasReadTheUpload)
{
    constexpr std::size_t uploadBytes = 1024 * 1024;
    for (const bool isResetLater : {false, true}) {
        auto request = upload(uploadBytes);
        request.body_ += "last bytes";
        auto server = startUpload(request);
        server.receiveUntil(reactor_, "last bytes");
        server.send(successHead + "the whole body");
        server.shutdownOutput();
        if (isResetLater)
            reactor_.runFor(fillTime);
        server.reset();
        expectBody("the whole body");
    }
}

TEST_F(ResponseWithoutLength, isCompleteWhenAShortRequestWasReceived)
{
    constexpr std::size_t shortBytes = 100;
    auto server = startUpload(upload(shortBytes));
    server.send(successHead + "the whole body");
    server.shutdownOutput();
    server.reset();
    expectBody("the whole body");
}

// A refusal is often sent without reading the request; its status is valid without the body.
TEST_F(ResponseWithoutLength, ofAFailureKeepsItsStatusWhenItEndsBeforeTheReset)
{
    auto server = startUpload();
    server.send("HTTP/1.1 503 Service Unavailable\r\nid: a\r\n\r\nbusy");
    server.shutdownOutput();
    server.reset();
    const auto response = result();
    ASSERT_TRUE(response) << response.error().detail_;
    EXPECT_EQ(response->status_, 503);
    EXPECT_EQ(response->body_, "busy");
}
