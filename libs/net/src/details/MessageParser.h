#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace net::details {

/** State of the message being parsed. */
enum class ParseState : std::uint8_t {
    Incomplete,
    Complete,
    Malformed,
    TooLarge, ///< the body exceeds the limit
};

/** Incremental parser for the requests of one HTTP/1.1 connection, based on Boost.Beast. */
class RequestParser
{
public:
    explicit RequestParser(std::size_t maxBodyBytes);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /** Parses bytes and removes the consumed prefix; pass the rest again with the next bytes. */
    ParseState feed(std::string_view &bytes);

    /** Whether any byte of a request has been parsed. */
    bool hasStarted() const;

    /** Whether the sender expects "100 Continue" before it sends the body; true only once. */
    bool takeExpectContinue();

    /** Whether the sender keeps the connection open after the response. */
    bool keepsAlive() const;

    /** Returns the complete request and prepares for the next one. */
    HttpRequest take();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Incremental parser for the responses of one HTTP/1.1 connection, based on Boost.Beast. */
class ResponseParser
{
public:
    explicit ResponseParser(std::size_t maxBodyBytes);
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /** Prepares for a response; a response to a HEAD request has no body. */
    void begin(bool isHeadRequest);

    /** Parses bytes and removes the consumed prefix; pass the rest again with the next bytes. */
    ParseState feed(std::string_view &bytes);

    /** Signals the end of the connection, which completes a response without a length. */
    ParseState end();

    /** Whether the sender keeps the connection open after this response. */
    bool keepsAlive() const;

    /** The response as far as parsed. */
    const HttpResponse &response() const;

    /** Returns the complete response. */
    HttpResponse take();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** The usual reason phrase of a status. */
std::string_view reasonPhrase(int status);

} // namespace net::details
