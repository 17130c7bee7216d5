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
#include <net/Reactor.h>
#include <sys/socket.h>

namespace net::details {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;
constexpr int minFinalStatus = 200;

/** Interim answers to one request; servers send one or two. */
constexpr int maxInterimResponses = 16;

/** Answers to earlier requests in place of the own one; a server sends one twice at most. */
constexpr int maxMismatchedResponses = 4;
constexpr int maxSuccessStatus = 299;

/** Refused or failed requests on one connection, 8 bytes each; it is closed after so many. */
constexpr std::size_t maxRefusedIds = 128;
constexpr int minServerErrorStatus = 500;

/** Part of each second of a stated idle timeout in which a connection is used again. */
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

/** Seconds of idleness after which the server closes the connection, by the field Keep-Alive. */
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
        // Reported when the socket is read: the answer may be there already.
        return true;
    }
    request.body_ = output_.takeBody();
    closeConnection();
    return false;
}

void ClientConnection::finishConnect()
{
    if (hasConnectFailed(socket_)) {
        fail(FailureKind::NotSent, "cannot connect");
        return;
    }
    state_ = State::AwaitingResponse;
    if (!write() && output_.written() == 0)
        fail(FailureKind::NotSent, "the connection broke before the request was sent");
}

/** Writes what is left of the request; false if the connection is broken. */
bool ClientConnection::write()
{
    const auto progress = output_.writeTo(socket_);
    const bool isBlocked = progress == Output::Progress::Blocked;
    reactor_.watch(socket_, *this, isBlocked ? READ_MASK | WRITE_MASK : READ_MASK);
    return progress != Output::Progress::Failed;
}

int ClientConnection::handle_output(ACE_HANDLE)
{
    if (state_ == State::Connecting)
        finishConnect();
    else if (state_ == State::AwaitingResponse)
        write();
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
        // Closed by the server, or bytes that belong to no request.
        closeConnection();
    } else if (count < 0) {
        fail(FailureKind::Lost, "the connection was reset");
    } else if (count == 0) {
        handleEndOfStream();
    } else if (!reservation_.tryReserve(budget_, static_cast<std::size_t>(count))) {
        fail(FailureKind::Lost, "no memory is left for the answer");
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
    // Without an id it may be the copy of an earlier refusal, or bytes that follow another answer.
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
            fail(FailureKind::Lost, "the answer is malformed");
            return;
        case ParseState::TooLarge:
            fail(FailureKind::Lost, "the answer is larger than the limit");
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
            fail(FailureKind::Lost, "an answer without an id may be to another request");
            return;
        }
        if (!skipResponse(isFinal)) {
            fail(FailureKind::Lost, "other answers come in place of the own one");
            return;
        }
    }
}

/** Passes over an interim answer, or a late one to an earlier request; false if there are too many.
 */
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
    // A copy of an answer without an id could not be told from the answer to the next request;
    // where no ids are in use, this holds for copies of refusals at least.
    const bool isDuplicateDetectable = expectedEcho_.empty()
                                               ? response.status_ < minServerErrorStatus
                                               : matchedBy == MatchedBy::Id;
    // A request that is not written to its end would run into the next one.
    const bool isReusable = refusedIdHashes_.size() < maxRefusedIds && parser_.keepsAlive()
                            && !hasExtraBytes && isDuplicateDetectable && mismatchedResponses_ == 0
                            && output_.isDone();
    auto idleLifetime = options_.maxIdle_;
    if (const auto seconds = keepAliveTimeoutSeconds(response.headers_))
        idleLifetime = std::min(idleLifetime, base::Millis(*seconds * usableMsPerIdleSecond));
    usableUntil_ = base::monotonicNow() + idleLifetime;
    unparsed_.clear();
    reservation_.release();
    state_ = State::Idle;
    auto &owner = owner_;
    if (!isReusable)
        closeConnection();
    owner.callEnded(*this, std::move(response));
}

void ClientConnection::handleEndOfStream()
{
    if (parser_.end() == ParseState::Complete && matchResponse() == ResponseMatch::CurrentRequest)
        completeResponse(true);
    else
        fail(FailureKind::Lost, "the connection was closed before a whole answer");
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
    reservation_.release();
    reactor_.unwatchAndClose(socket_);
    owner_.connectionClosed(*this);
}

} // namespace net::details
