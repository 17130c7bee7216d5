#include "details/MessageParser.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include "details/Body.h"

namespace net::details {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using BoostView = boost::beast::string_view;

/** Header fields of one message; callers send far less. */
constexpr std::uint32_t maxHeaderBytes = 32 * 1024;

/** Header fields of one message; 10 to 30 are usual. */
constexpr std::size_t maxHeaderFields = 256;

std::string_view viewOf(BoostView text)
{
    return {text.data(), text.size()};
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/**
 * Whether the text contains a status line: the head of a response that was cut off, and the
 * response behind it would be read as one message.
 */
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t versionDigit = protocol.size();
    constexpr std::size_t statusBegin = versionDigit + 2;
    constexpr std::size_t statusEnd = statusBegin + 3;
    for (auto found = text.find(protocol); found != std::string_view::npos;
         found = text.find(protocol, found + 1)) {
        const auto line = text.substr(found, statusEnd);
        const bool isStatusLine = line.size() == statusEnd && isDigit(line[versionDigit])
                                  && line[versionDigit + 1] == ' '
                                  && std::all_of(line.begin() + statusBegin, line.end(), isDigit);
        if (isStatusLine)
            return true;
    }
    return false;
}

/** Whether the status is valid (RFC 9110, section 15); no request asks for another protocol. */
bool isExpectedStatus(int status)
{
    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;
    constexpr int switchingProtocols = 101;
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

/** Collects the header fields and body of a request or response. */
template<bool isRequest, typename Message>
class Collector : public http::basic_parser<isRequest>
{
public:
    explicit Collector(std::size_t maxBodyBytes)
    {
        this->eager(true);
        this->header_limit(maxHeaderBytes);
        this->body_limit(maxBodyBytes);
    }

    Message message_;
    bool expectsContinue_ = false;
    std::string_view input_; ///< bytes of the current put()

protected:
    void on_request_impl(http::verb, BoostView method, BoostView target, int, error_code &) override
    {
        if constexpr (isRequest) {
            message_.method_ = viewOf(method);
            message_.target_ = viewOf(target);
        }
    }

    void on_response_impl(int status, BoostView reason, int, error_code &error) override
    {
        if constexpr (!isRequest)
            message_.status_ = status;
        if (!isExpectedStatus(status))
            error = http::error::bad_status;
        else if (containsStatusLine(viewOf(reason)))
            error = http::error::bad_reason;
    }

    void on_field_impl(http::field name, BoostView text, BoostView value,
                       error_code &error) override
    {
        if (!isRequest && isFolded(viewOf(text))) {
            error = http::error::bad_obs_fold;
            return;
        }
        // Trailers are not forwarded: their values were not available before the body.
        if (isHeaderDone_)
            return;
        if (message_.headers_.size() >= maxHeaderFields) {
            error = http::error::header_limit;
            return;
        }
        if (!isRequest && containsStatusLine(viewOf(value))) {
            error = http::error::bad_value;
            return;
        }
        // No request allows another coding (TE), and the parser would leave it in the body.
        if (!isRequest && name == http::field::transfer_encoding
            && (!equalsIgnoringCase(viewOf(value), "chunked")
                || hasHeader(message_.headers_, "transfer-encoding"))) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        if (name == http::field::expect)
            expectsContinue_ = equalsIgnoringCase(viewOf(value), "100-continue");
        message_.headers_.push_back({std::string(viewOf(text)), std::string(viewOf(value))});
    }

    void on_header_impl(error_code &) override { isHeaderDone_ = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &) override
    {
        if (length)
            message_.body_.reserve(std::min<std::uint64_t>(*length, maxReserveBytes));
    }

    std::size_t on_body_impl(BoostView body, error_code &) override
    {
        appendBody(message_.body_, viewOf(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, BoostView, error_code &) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, BoostView body, error_code &) override
    {
        appendBody(message_.body_, viewOf(body));
        return body.size();
    }

    void on_finish_impl(error_code &) override {}

private:
    /**
     * Whether the field continues on a second line (RFC 9112, section 5.2). The parser joins the
     * lines, but a line that begins with a space is more likely a damaged field of its own.
     */
    bool isFolded(std::string_view name) const
    {
        // The parser has looked at the byte behind the line before it reports a field.
        const auto valueBegin = static_cast<std::size_t>(name.data() - input_.data()) + name.size();
        const auto nextLine = input_.find('\n', valueBegin) + 1;
        return input_[nextLine] == ' ' || input_[nextLine] == '\t';
    }

    bool isHeaderDone_ = false;

    /** Limits the memory allocated for a Content-Length before its bytes are received. */
    static constexpr std::uint64_t maxReserveBytes = 256 * 1024;
};

using RequestCollector = Collector<true, HttpRequest>;
using ResponseCollector = Collector<false, HttpResponse>;

template<typename AnyCollector>
ParseState feedTo(AnyCollector &collector, std::string_view &bytes)
{
    while (!bytes.empty() && !collector.is_done()) {
        error_code error;
        collector.input_ = bytes;
        const auto consumed =
                collector.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(consumed);
        if (error == http::error::need_more)
            break;
        if (error)
            return error == http::error::body_limit ? ParseState::TooLarge : ParseState::Malformed;
        if (consumed == 0)
            break;
    }
    if (collector.is_done())
        return ParseState::Complete;
    // The rest is an unterminated line: in the head, a chunk extension or the trailers.
    return bytes.size() > maxHeaderBytes ? ParseState::Malformed : ParseState::Incomplete;
}

/** State of a parser: the body limit, and the collector of the current message. */
template<typename AnyCollector>
struct ParserState
{
    explicit ParserState(std::size_t maxBodyBytes)
        : maxBodyBytes_(maxBodyBytes)
        , collector_(std::in_place, maxBodyBytes)
    {}

    const std::size_t maxBodyBytes_;
    std::optional<AnyCollector> collector_;
};

} // namespace

struct RequestParser::Impl : ParserState<RequestCollector>
{
    using ParserState::ParserState;
};

RequestParser::RequestParser(std::size_t maxBodyBytes)
    : impl_(std::make_unique<Impl>(maxBodyBytes))
{}

RequestParser::~RequestParser() = default;

ParseState RequestParser::feed(std::string_view &bytes)
{
    return feedTo(*impl_->collector_, bytes);
}

bool RequestParser::hasStarted() const
{
    return impl_->collector_->got_some();
}

bool RequestParser::takeExpectContinue()
{
    auto &collector = *impl_->collector_;
    return collector.is_header_done() && !collector.is_done()
           && std::exchange(collector.expectsContinue_, false);
}

bool RequestParser::keepsAlive() const
{
    return impl_->collector_->keep_alive();
}

HttpRequest RequestParser::take()
{
    auto request = std::move(impl_->collector_->message_);
    impl_->collector_.emplace(impl_->maxBodyBytes_);
    return request;
}

struct ResponseParser::Impl : ParserState<ResponseCollector>
{
    using ParserState::ParserState;
};

ResponseParser::ResponseParser(std::size_t maxBodyBytes)
    : impl_(std::make_unique<Impl>(maxBodyBytes))
{}

ResponseParser::~ResponseParser() = default;

void ResponseParser::begin(bool isHeadRequest)
{
    impl_->collector_.emplace(impl_->maxBodyBytes_);
    impl_->collector_->skip(isHeadRequest);
}

ParseState ResponseParser::feed(std::string_view &bytes)
{
    return feedTo(*impl_->collector_, bytes);
}

ParseState ResponseParser::end()
{
    auto &collector = *impl_->collector_;
    if (!collector.is_header_done() || !collector.need_eof())
        return ParseState::Malformed;
    error_code error;
    collector.put_eof(error);
    return !error && collector.is_done() ? ParseState::Complete : ParseState::Malformed;
}

bool ResponseParser::keepsAlive() const
{
    return impl_->collector_->keep_alive();
}

const HttpResponse &ResponseParser::response() const
{
    return impl_->collector_->message_;
}

HttpResponse ResponseParser::take()
{
    return std::move(impl_->collector_->message_);
}

std::string_view reasonPhrase(int status)
{
    return viewOf(http::obsolete_reason(static_cast<http::status>(status)));
}

} // namespace net::details
