#include <vector>

#include <details/MessageParser.h>

#include "HttpClientBytes.h"

using net::FailureKind;
using net::details::ParseState;
using net::details::ResponseParser;

namespace {

const std::string lastChunk = "3\r\nown\r\n0\r\n";

/** A response of which one line is given, in its head, in that of an interim one or a trailer. */
std::vector<std::string> responsesWithLine(const std::string &line)
{
    const std::string head = "HTTP/1.1 200 OK\r\nid: a\r\n";
    return {head + line + "\r\nContent-Length: 3\r\n\r\nown",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line + "\r\n\r\n" + head
                    + "Content-Length: 3\r\n\r\nown",
            head + "Transfer-Encoding: chunked\r\n\r\n" + lastChunk + "Sum: 1\r\n" + line
                    + "\r\n\r\n"};
}

/** Responses whose head is not valid, or whose body is in a form that the client cannot read. */
class ResponseHead : public HttpClientBytes
{
protected:
    void expectMalformed(const std::string &response)
    {
        start();
        auto server = listener_.accept(reactor_);
        server.receiveUntil(reactor_, "\r\n\r\n");
        server.send(response);
        server.close();
        const auto received = result();
        ASSERT_FALSE(received) << response;
        EXPECT_EQ(received.error().kind_, FailureKind::Lost) << response;
        EXPECT_EQ(received.error().detail_, "malformed response") << response;
    }
};

/** Parses the text in pieces of the given size. */
ParseState parseInPieces(const std::string &text, std::size_t piece)
{
    constexpr std::size_t maxBodyBytes = 4096;
    ResponseParser parser(maxBodyBytes);
    parser.begin(false);
    std::string unparsed;
    for (std::size_t offset = 0; offset < text.size(); offset += piece) {
        unparsed += text.substr(offset, piece);
        std::string_view rest = unparsed;
        if (const auto state = parser.feed(rest); state != ParseState::Incomplete)
            return state;
        unparsed = std::string(rest);
    }
    return ParseState::Incomplete;
}

} // namespace

TEST_F(ResponseHead, withAnInvalidFieldNameIsMalformed)
{
    using namespace std::string_literals;
    for (const auto &line : {"X Odd: v"s, "X-Odd : v"s, "X\tOdd: v"s, "X-Odd\t: v"s, "X\0Odd: v"s,
                             "\x01X-Odd: v"s, "X\x1bOdd: v"s, "X\x7fOdd: v"s, "X\x80Odd: v"s,
                             "X\xffOdd: v"s, "X\rOdd: v"s, "X-Odd"s, ": v"s}) {
        for (const auto &response : responsesWithLine(line))
            expectMalformed(response);
    }
}

TEST_F(ResponseHead, withAFoldedFieldIsMalformed)
{
    for (const std::string line : {" X-Odd: v", "\tX-Odd: v", " ", "\t", "X-Odd: v\r\n w",
                                   "X-Odd:\r\n v", "X-Odd: v\r\n\tw\r\n w"}) {
        for (const auto &response : responsesWithLine(line)) {
            expectMalformed(response);
            for (const std::size_t piece : {1U, 2U, 3U, 7U})
                EXPECT_EQ(parseInPieces(response, piece), ParseState::Malformed) << response;
        }
    }
    expectMalformed("HTTP/1.1 200 OK\r\n X-Odd: v\r\nid: a\r\nContent-Length: 0\r\n\r\n");
    expectMalformed("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n X-Odd: v\r\n\r\n"
                    + lastChunk + "\r\n");
}

TEST_F(ResponseHead, withATransferCodingOtherThanChunkedIsMalformed)
{
    for (const std::string coding : {"gzip", "identity", "chunked, gzip", "gzip, chunked",
                                     "chunked, chunked", "", ",", "chunked;a=b", "\"chunked\""})
        expectMalformed("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: " + coding + "\r\n\r\n"
                        + lastChunk + "\r\n");
    for (const std::string coding : {"gzip", "chunked"})
        expectMalformed("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: " + coding
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n" + lastChunk + "\r\n");
    expectMalformed("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: gzip\r\n"
                    "Content-Length: 3\r\n\r\nown");
}

TEST_F(ResponseHead, chunkedIsMatchedIgnoringCase)
{
    start();
    const auto server = listener_.accept(reactor_);
    server.receiveUntil(reactor_, "\r\n\r\n");
    server.send("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding:  Chunked \r\n\r\n" + lastChunk
                + "\r\n");
    const auto response = result();
    ASSERT_TRUE(response) << response.error().detail_;
    EXPECT_EQ(response->body_, "own");
}
