#include <details/MessageParser.h>

#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using net::details::ParseState;
using net::details::RequestParser;
using net::details::ResponseParser;

namespace {

constexpr std::size_t maxBodyBytes = 4096;

/** Well-formed and malformed fragments of messages. */
rc::Gen<std::string> fragment()
{
    return rc::gen::oneOf(
            rc::gen::element<std::string>(
                    "GET / HTTP/1.1\r\n", "POST /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 999999 x\r\n", "Content-Length: 5\r\n", "Content-Length: -1\r\n",
                    "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: chunked\r\n",
                    "Transfer-Encoding: gzip\r\n", "Expect: 100-continue\r\n", "\r\n", "\r", "\n",
                    "5\r\nabcde\r\n", "0\r\n\r\n", "ffffffffffffffff\r\n", "a: b\r\n", ": b\r\n",
                    " folded\r\n", "Connection: close\r\n"),
            rc::gen::arbitrary<std::string>());
}

std::string concatenate(const std::vector<std::string> &fragments)
{
    std::string text;
    for (const auto &one : fragments)
        text += one;
    return text;
}

/** Parses the text in pieces of the given size; returns the request if it is complete. */
std::optional<net::HttpRequest> parseInPieces(const std::string &text, std::size_t piece)
{
    RequestParser parser(maxBodyBytes);
    std::string unparsed;
    for (std::size_t offset = 0; offset < text.size(); offset += piece) {
        unparsed += text.substr(offset, piece);
        std::string_view rest = unparsed;
        const auto state = parser.feed(rest);
        unparsed = std::string(rest);
        if (state == ParseState::Complete)
            return parser.take();
        if (state != ParseState::Incomplete)
            return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

RC_GTEST_PROP(RequestParserProperty, completeMessageIsWithinBodyLimit, ())
{
    const auto text = concatenate(*rc::gen::container<std::vector<std::string>>(fragment()));
    RequestParser parser(maxBodyBytes);
    std::string_view rest = text;
    if (parser.feed(rest) == ParseState::Complete)
        RC_ASSERT(parser.take().body_.size() <= maxBodyBytes);
    RC_ASSERT(rest.size() <= text.size());
}

RC_GTEST_PROP(ResponseParserProperty, completeMessageIsWithinBodyLimit, (bool isHeadRequest))
{
    const auto text = concatenate(*rc::gen::container<std::vector<std::string>>(fragment()));
    ResponseParser parser(maxBodyBytes);
    parser.begin(isHeadRequest);
    std::string_view rest = text;
    auto state = parser.feed(rest);
    if (state == ParseState::Incomplete)
        state = parser.end();
    if (state == ParseState::Complete)
        RC_ASSERT(parser.take().body_.size() <= maxBodyBytes);
}

RC_GTEST_PROP(RequestParserProperty, resultDoesNotDependOnFragmentation, (std::string body))
{
    body.resize(std::min<std::size_t>(body.size(), maxBodyBytes));
    const bool isChunked = *rc::gen::arbitrary<bool>() && !body.empty();
    std::string text = "POST /a?b HTTP/1.1\r\nHost: x\r\n";
    if (isChunked) {
        char size[20];
        std::snprintf(size, sizeof(size), "%zx", body.size());
        text += "Transfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" + body
                + "\r\n0\r\n\r\n";
    } else {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    const auto piece = *rc::gen::inRange<std::size_t>(1, 40);
    const auto whole = parseInPieces(text, text.size());
    RC_ASSERT(whole.has_value());
    RC_ASSERT(whole->body_ == body);
    RC_ASSERT(parseInPieces(text, piece) == whole);
}

TEST(RequestParser, rejectsConflictingLengths)
{
    for (const auto *fields : {"Content-Length: 3\r\nContent-Length: 4\r\n",
                               "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"}) {
        RequestParser parser(maxBodyBytes);
        const auto text = std::string("POST / HTTP/1.1\r\n") + fields + "\r\nabcd";
        std::string_view rest = text;
        EXPECT_EQ(parser.feed(rest), ParseState::Malformed) << fields;
    }
}

TEST(RequestParser, rejectsHeadersOverTheLimit)
{
    // The limit is maxHeaderBytes of MessageParser.cpp, 32 KiB.
    constexpr std::size_t headerBytesOverLimit = 33 * 1024;
    RequestParser parser(maxBodyBytes);
    const auto text = "GET / HTTP/1.1\r\nA: " + std::string(headerBytesOverLimit, 'x') + "\r\n\r\n";
    std::string_view rest = text;
    EXPECT_EQ(parser.feed(rest), ParseState::Malformed);
}
