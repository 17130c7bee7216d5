#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace net::details {

/** How far the message is that a parser reads. */
enum class ParseState : std::uint8_t {
    Incomplete,
    Complete,
    Malformed,
    TooLarge, ///< its body is larger than the limit
};

/** Reads requests from the bytes of one HTTP/1.1 connection, by Boost.Beast. */
class RequestParser
{
public:
    explicit RequestParser(std::size_t maxBodyBytes);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /** Reads from the bytes and removes what was used; the rest has to be offered again. */
    ParseState feed(std::string_view &bytes);

    /** Whether any byte of a request was read. */
    bool hasStarted() const;

    /** Whether the sender waits for an interim answer before it sends the body; true once. */
    bool takeExpectContinue();

    /** Whether the sender keeps the connection open after the answer. */
    bool keepsAlive() const;

    /** The complete request; the parser is then ready for the next one. */
    HttpRequest take();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Reads answers from the bytes of one HTTP/1.1 connection, by Boost.Beast. */
class ResponseParser
{
public:
    explicit ResponseParser(std::size_t maxBodyBytes);
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /** Prepares for an answer; one to a HEAD request has no body. */
    void begin(bool isHeadRequest);

    /** Reads from the bytes and removes what was used; the rest has to be offered again. */
    ParseState feed(std::string_view &bytes);

    /** The connection has ended, which completes an answer that states no length. */
    ParseState end();

    /** Whether the sender keeps the connection open after this answer. */
    bool keepsAlive() const;

    /** What was read so far. */
    const HttpResponse &response() const;

    /** The complete answer. */
    HttpResponse take();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** The usual reason phrase of a status. */
std::string_view reasonPhrase(int status);

} // namespace net::details
