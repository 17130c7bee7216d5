#include "details/ClientConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

#include <base/Clock.h>
#include <base/Hash.h>
#include <net/HttpClientOptions.h>
#include <sys/socket.h>

#include "details/Body.h"

namespace net::details {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;
constexpr int minFinalStatus = 200;

/** Interim (1xx) responses to one request; servers send one or two. */
constexpr int maxInterimResponses = 16;

/** Responses to earlier requests before the expected one; a server duplicates one at most once. */
constexpr int maxMismatchedResponses = 4;
constexpr int maxSuccessStatus = 299;

/** Refused or failed requests (8 bytes each) after which a connection is closed. */
constexpr std::size_t maxRefusedIds = 128;
constexpr int minServerErrorStatus = 500;

/** Interval of checks whether the server has received a request that it answered early. */
constexpr base::Millis deliveryCheckInterval(10);

/** Milliseconds for each second of the server's idle timeout in which a connection is reused. */
constexpr std::int64_t usableMsPerIdleSecond = 800;

bool hasBody(const HttpRequest &request)
{
    return !request.body_.empty() || request.method_ == "POST" || request.method_ == "PUT"
           || request.method_ == "PATCH";
}

std::string serializeHead(const HttpRequest &request, const model::Address &to)
{
    std::string head;
    head.reserve(512);
    head += request.method_;
    head += ' ';
    head += request.target_;
    head += " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : request.headers_) {
        if (equalsIgnoringCase(name, "content-length")
            || equalsIgnoringCase(name, "transfer-encoding"))
            continue;
        hasHost = hasHost || equalsIgnoringCase(name, "host");
        head += name;
        head += ": ";
        head += value;
        head += "\r\n";
    }
    if (!hasHost)
        head += "Host: " + to.text() + "\r\n";
    if (hasBody(request))
        head += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    head += "\r\n";
    return head;
}

/** The server's idle timeout in seconds, from the Keep-Alive header field. */
std::optional<std::int64_t> keepAliveTimeoutSeconds(const Headers &headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto text = headerValue(headers, "keep-alive");
    const auto begin = text.find(parameter);
    if (begin == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(begin + parameter.size());
    std::int64_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
        return std::nullopt;
    return seconds;
}

} // namespace

ClientConnection::ClientConnection(Reactor &reactor, const model::Address &to,
                                   const OpenSocket &socket, const HttpClientOptions &options,
                                   ByteBudget &budget, ClientConnectionOwner &owner)
    : reactor_(reactor)
    , to_(to)
    , socket_(socket.socket_)
    , options_(options)
    , budget_(budget)
    , owner_(owner)
    , parser_(options.maxBodyBytes_)
    , state_(socket.isConnecting_ ? State::Connecting : State::Idle)
{
    reactor_.watch(socket_, *this, socket.isConnecting_ ? READ_MASK | WRITE_MASK : READ_MASK);
}

ClientConnection::~ClientConnection()
{
    reactor_.cancel(deliveryTimer_);
    if (state_ != State::Closed)
        reactor_.unwatchAndClose(socket_);
}

bool ClientConnection::mayCarry(const HttpRequest &request) const
{
    if (refusedIdHashes_.empty())
        return true;
    const auto id = base::hash64(headerValue(request.headers_, options_.echoedField_));
    return std::find(refusedIdHashes_.begin(), refusedIdHashes_.end(), id)
           == refusedIdHashes_.end();
}

bool ClientConnection::send(HttpRequest &request)
{
    expectedEcho_ = options_.echoedField_.empty()
                            ? std::string()
                            : std::string(headerValue(request.headers_, options_.echoedField_));
    isHeadRequest_ = request.method_ == "HEAD";
    interimResponses_ = 0;
    mismatchedResponses_ = 0;
    parser_.begin(isHeadRequest_);
    auto head = serializeHead(request, to_);
    reservation_.release();
    reservation_.reserve(budget_, head.size() + request.body_.size());
    output_ = Output(std::move(head), std::move(request.body_));
    if (state_ == State::Connecting)
        return true;
    state_ = State::AwaitingResponse;
    if (write())
        return true;
    if (output_.written() > 0) {
        // The failure is reported when reading: the response may have arrived already.
        return true;
    }
    request.body_ = output_.takeBody();
    closeConnection();
    return false;
}

void ClientConnection::finishConnect()
{
    if (takeError(socket_) != 0) {
        fail(FailureKind::NotSent, "cannot connect");
        return;
    }
    state_ = State::AwaitingResponse;
    if (!write() && output_.written() == 0)
        fail(FailureKind::NotSent, "connection lost before the request was sent");
}

/** Writes the rest of the request; false if the connection is broken. */
bool ClientConnection::write()
{
    const auto progress = output_.writeTo(socket_);
    const bool isBlocked = progress == Output::Progress::Blocked;
    isCutOff_ = isCutOff_ || progress == Output::Progress::Failed;
    reactor_.watch(socket_, *this, isBlocked ? READ_MASK | WRITE_MASK : READ_MASK);
    return isBlocked || progress == Output::Progress::Done;
}

int ClientConnection::handle_output(ACE_HANDLE)
{
    if (state_ == State::Connecting)
        finishConnect();
    else if (state_ == State::AwaitingResponse)
        write();
    else if (state_ == State::AwaitingDelivery)
        checkDelivery();
    return 0;
}

int ClientConnection::handle_input(ACE_HANDLE)
{
    if (state_ == State::Connecting) {
        finishConnect();
        return 0;
    }
    static thread_local std::array<char, readChunkBytes> buffer;
    const auto count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return 0;
    if (state_ == State::Idle) {
        // Closed by the server, or bytes that do not belong to any request.
        closeConnection();
    } else if (count < 0) {
        fail(FailureKind::Lost, "connection reset");
    } else if (count == 0) {
        handleEndOfStream();
    } else if (!reservation_.tryReserve(budget_, static_cast<std::size_t>(count))) {
        fail(FailureKind::Lost, "message memory budget exhausted by the response");
    } else if (unparsed_.empty()) {
        parse({buffer.data(), static_cast<std::size_t>(count)});
    } else {
        unparsed_.append(buffer.data(), static_cast<std::size_t>(count));
        parse(std::exchange(unparsed_, {}));
    }
    return 0;
}

ClientConnection::ResponseMatch ClientConnection::matchResponse() const
{
    const auto &response = parser_.response();
    const auto matchedBy = matchingCriterion();
    const bool hasId = !headerValue(response.headers_, options_.echoedField_).empty();
    if (matchedBy == MatchedBy::Id || (expectedEcho_.empty() && !hasId))
        return ResponseMatch::CurrentRequest;
    if (hasId || response.status_ <= maxSuccessStatus)
        return ResponseMatch::OtherRequest;
    // Without an id it may be a duplicate of an earlier refusal, or bytes after another response.
    return matchedBy == MatchedBy::NewConnection && mismatchedResponses_ == 0
                   ? ResponseMatch::CurrentRequest
                   : ResponseMatch::Ambiguous;
}

MatchedBy ClientConnection::matchingCriterion() const
{
    const auto echo = headerValue(parser_.response().headers_, options_.echoedField_);
    if (!expectedEcho_.empty() && echo == expectedEcho_)
        return MatchedBy::Id;
    return hasCompletedRequest_ ? MatchedBy::Order : MatchedBy::NewConnection;
}

void ClientConnection::parse(std::string_view bytes)
{
    while (true) {
        switch (parser_.feed(bytes)) {
        case ParseState::Malformed:
            fail(FailureKind::Lost, "malformed response");
            return;
        case ParseState::TooLarge:
            fail(FailureKind::Lost, "response body exceeds the limit");
            return;
        case ParseState::Incomplete:
            unparsed_ = bytes;
            return;
        case ParseState::Complete:
            break;
        }
        const bool isFinal = parser_.response().status_ >= minFinalStatus;
        const auto match = matchResponse();
        if (isFinal && match == ResponseMatch::CurrentRequest) {
            completeResponse(!bytes.empty());
            return;
        }
        if (isFinal && match == ResponseMatch::Ambiguous) {
            fail(FailureKind::Lost, "response without an id may belong to another request");
            return;
        }
        if (!skipResponse(isFinal)) {
            fail(FailureKind::Lost, "too many interim responses or responses to other requests");
            return;
        }
    }
}

/** Skips an interim response, or a late one to an earlier request; false if there are too many. */
bool ClientConnection::skipResponse(bool isFinal)
{
    ++(isFinal ? mismatchedResponses_ : interimResponses_);
    parser_.begin(isHeadRequest_);
    return interimResponses_ <= maxInterimResponses
           && mismatchedResponses_ <= maxMismatchedResponses;
}

void ClientConnection::completeResponse(bool hasExtraBytes)
{
    const auto matchedBy = matchingCriterion();
    auto response = parser_.take();
    response.matchedBy_ = matchedBy;
    hasCompletedRequest_ = true;
    if (!expectedEcho_.empty() && response.status_ > maxSuccessStatus)
        refusedIdHashes_.push_back(base::hash64(expectedEcho_));
    // A duplicate of a response without an id cannot be distinguished from the response to the next
    // request. If ids are not in use, the connection is closed at least after server errors.
    const bool isDuplicateDetectable = expectedEcho_.empty()
                                               ? response.status_ < minServerErrorStatus
                                               : matchedBy == MatchedBy::Id;
    // The rest of a partly written request would be followed by the next request.
    const bool isReusable = refusedIdHashes_.size() < maxRefusedIds && parser_.keepsAlive()
                            && !hasExtraBytes && isDuplicateDetectable && mismatchedResponses_ == 0
                            && output_.isDone();
    auto idleLifetime = options_.maxIdle_;
    if (const auto seconds = keepAliveTimeoutSeconds(response.headers_))
        idleLifetime = std::min(idleLifetime, base::Millis(*seconds * usableMsPerIdleSecond));
    usableUntil_ = base::monotonicNow() + idleLifetime;
    freeMemory(unparsed_);
    output_.clear();
    reservation_.release();
    state_ = State::Idle;
    auto &owner = owner_;
    if (!isReusable)
        closeConnection();
    owner.callEnded(*this, std::move(response));
}

void ClientConnection::handleEndOfStream()
{
    // The write that failed has taken the error, so that a reset looks like a regular end.
    if (isCutOff_) {
        fail(FailureKind::Lost, "connection reset while the request was written");
    } else if (parser_.end() != ParseState::Complete
               || matchResponse() != ResponseMatch::CurrentRequest) {
        fail(FailureKind::Lost, "connection closed before the response was complete");
    } else if (parser_.response().status_ > maxSuccessStatus) {
        completeResponse(true); // the status is valid without the body
    } else {
        state_ = State::AwaitingDelivery;
        checkDelivery();
    }
}

/**
 * Completes a response that ended with its stream once the server has received the request. A
 * server that closes the connection earlier ends the stream in the same way in the middle of its
 * response, and resets the connection only when it receives more of the request.
 */
void ClientConnection::checkDelivery()
{
    const auto progress = output_.writeTo(socket_);
    if (progress == Output::Progress::Done && undeliveredBytes(socket_) == 0) {
        completeResponse(true);
        return;
    }
    if (progress == Output::Progress::Blocked) {
        reactor_.watch(socket_, *this, WRITE_MASK);
        return;
    }
    if (progress != Output::Progress::Done || takeError(socket_) != 0) {
        fail(FailureKind::Lost, "connection closed before the request was received");
        return;
    }
    // No event reports the last acknowledgement, and the end of the stream would be reported on.
    reactor_.unwatch(socket_);
    deliveryTimer_ = reactor_.schedule(deliveryCheckInterval, [this] { checkDelivery(); });
}

void ClientConnection::fail(FailureKind kind, const char *detail)
{
    closeConnection();
    owner_.callEnded(*this, tl::unexpected<Failure>(Failure{kind, detail}));
}

void ClientConnection::closeConnection()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    reactor_.cancel(deliveryTimer_);
    reservation_.release();
    reactor_.unwatchAndClose(socket_);
    owner_.connectionClosed(*this);
}

} // namespace net::details
