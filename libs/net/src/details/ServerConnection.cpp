#include "details/ServerConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <net/Reactor.h>
#include <sys/socket.h>

#include "details/Body.h"
#include "details/Socket.h"

namespace net::details {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;

/**
 * Pipelined bytes read from one caller while its request is served. They are reserved without
 * asking the budget, so they may exceed it by this many bytes per connection.
 */
constexpr std::size_t maxPipelinedBytes = 4 * 1024;

/** Bytes after the last response that are read and discarded. */
constexpr std::size_t maxDiscardedBytes = 256 * 1024;

/** A caller that reads nothing of its last response for this time is given up. */
constexpr base::Millis lingerInterval(1000);

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/** Header fields that the connection itself sets. */
bool isManagedField(const std::string &name)
{
    return equalsIgnoringCase(name, "Content-Length")
           || equalsIgnoringCase(name, "Transfer-Encoding")
           || equalsIgnoringCase(name, "Connection") || equalsIgnoringCase(name, "Keep-Alive");
}

std::string serializeHead(const HttpResponse &response, bool closesAfter)
{
    std::string head;
    head.reserve(512);
    head += "HTTP/1.1 ";
    head += std::to_string(response.status_);
    head += ' ';
    head += reasonPhrase(response.status_);
    head += "\r\n";
    for (const auto &[name, value] : response.headers_) {
        if (isManagedField(name))
            continue;
        head += name;
        head += ": ";
        head += value;
        head += "\r\n";
    }
    if (response.status_ != statusNoContent && response.status_ != statusNotModified) {
        head += "Content-Length: ";
        head += std::to_string(response.body_.size());
        head += "\r\n";
    }
    if (closesAfter)
        head += "Connection: close\r\n";
    head += "\r\n";
    return head;
}

HttpResponse plainResponse(int status)
{
    return {.status_ = status, .body_ = std::string(reasonPhrase(status)) + "\n"};
}

} // namespace

ServerConnection::ServerConnection(Reactor &reactor, int socket, const ServerLimits &limits,
                                   ServerConnectionOwner &owner)
    : reactor_(reactor)
    , socket_(socket)
    , limits_(limits)
    , owner_(owner)
    , parser_(limits.maxBodyBytes_)
{
    reactor_.watch(socket_, *this, READ_MASK);
}

ServerConnection::~ServerConnection()
{
    if (state_ != State::Closed)
        reactor_.unwatchAndClose(socket_);
}

bool ServerConnection::isIdle() const
{
    return state_ == State::Reading && unparsed_.empty() && !parser_.hasStarted();
}

int ServerConnection::handle_input(ACE_HANDLE)
{
    static thread_local std::array<char, readChunkBytes> buffer;
    const bool isBusy = state_ == State::Serving || state_ == State::Writing;
    const auto maxBytes = isBusy ? maxPipelinedBytes - std::min(maxPipelinedBytes, unparsed_.size())
                                 : buffer.size();
    if (maxBytes == 0)
        return 0;
    const auto count = ::recv(socket_, buffer.data(), maxBytes, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return 0;
    if (count <= 0) {
        closeConnection();
        return 0;
    }
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
    switch (state_) {
    case State::Reading:
        if (!reservation_.tryReserve(limits_.budget_, bytes.size())) {
            reject(limits_.overBudgetResponse_);
        } else if (unparsed_.empty()) {
            parse(bytes);
        } else {
            unparsed_ += bytes;
            parseBuffered();
        }
        break;
    case State::Serving:
    case State::Writing:
        reservation_.reserve(limits_.budget_, bytes.size());
        unparsed_ += bytes;
        updateWatch();
        break;
    case State::Lingering:
        discardedBytes_ += bytes.size();
        if (discardedBytes_ >= maxDiscardedBytes)
            updateWatch();
        break;
    case State::Closed:
        break;
    }
    return 0;
}

int ServerConnection::handle_output(ACE_HANDLE)
{
    write();
    return 0;
}

void ServerConnection::parseBuffered()
{
    const auto bytes = std::exchange(unparsed_, {});
    parse(bytes);
}

void ServerConnection::parse(std::string_view bytes)
{
    const auto parsed = parser_.feed(bytes);
    unparsed_.append(bytes);
    owner_.activityChanged(*this);
    switch (parsed) {
    case ParseState::Malformed:
        reject(plainResponse(statusBadRequest));
        return;
    case ParseState::TooLarge:
        reject(plainResponse(statusTooLarge));
        return;
    case ParseState::Incomplete:
        if (parser_.takeExpectContinue()) {
            output_ = Output(std::string(continueResponse), {});
            output_.writeTo(socket_);
        }
        return;
    case ParseState::Complete:
        break;
    }
    closesAfterResponse_ = !parser_.keepsAlive();
    auto request = parser_.take();
    isHeadRequest_ = request.method_ == "HEAD";
    state_ = State::Serving;
    owner_.activityChanged(*this);
    owner_.requestReceived(*this, std::move(request));
}

// The rest of the request is not parsed, so the connection cannot be reused.
void ServerConnection::reject(HttpResponse response)
{
    state_ = State::Serving;
    freeMemory(unparsed_);
    static_cast<void>(parser_.take()); // frees the memory of the partial request
    respond(std::move(response), true);
}

void ServerConnection::respond(HttpResponse response, bool closesAfter)
{
    if (state_ != State::Serving)
        return;
    // Requests that the caller has sent ahead are served before the connection is closed.
    closesAfterResponse_ = closesAfterResponse_ || (closesAfter && unparsed_.empty());
    auto head = serializeHead(response, closesAfterResponse_);
    reservation_.reserve(limits_.budget_, head.size() + response.body_.size());
    output_ = Output(std::move(head), isHeadRequest_ ? std::string() : std::move(response.body_));
    state_ = State::Writing;
    owner_.activityChanged(*this);
    write();
}

void ServerConnection::write()
{
    if (state_ != State::Writing)
        return;
    const auto writtenBefore = output_.written();
    switch (output_.writeTo(socket_)) {
    case Output::Progress::Failed:
    case Output::Progress::PeerClosed:
        closeConnection();
        return;
    case Output::Progress::Blocked:
        if (output_.written() > writtenBefore)
            owner_.activityChanged(*this);
        updateWatch();
        return;
    case Output::Progress::Done:
        finishResponse();
        return;
    }
}

void ServerConnection::finishResponse()
{
    output_.clear();
    reservation_.release();
    reservation_.reserve(limits_.budget_, unparsed_.size());
    if (closesAfterResponse_) {
        linger();
        return;
    }
    state_ = State::Reading;
    updateWatch();
    owner_.activityChanged(*this);
    if (unparsed_.empty())
        return;
    // Deferred, as respond() may have been called within requestReceived() of the previous request.
    reactor_.post([this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired() && state_ == State::Reading)
            parseBuffered();
    });
}

// Closing a socket with unread input resets it, and the caller may lose the response.
void ServerConnection::linger()
{
    ::shutdown(socket_, SHUT_WR);
    state_ = State::Lingering;
    freeMemory(unparsed_);
    undeliveredBytes_ = undeliveredBytes(socket_);
    updateWatch();
    checkDeliveryLater();
}

void ServerConnection::checkDeliveryLater()
{
    reactor_.schedule(lingerInterval, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired() && state_ == State::Lingering)
            checkDelivery();
    });
}

/** Closes the connection unless its caller has received more of the response since last time. */
void ServerConnection::checkDelivery()
{
    const auto before = std::exchange(undeliveredBytes_, undeliveredBytes(socket_));
    if (undeliveredBytes_ == 0 || undeliveredBytes_ == before) {
        closeConnection();
        return;
    }
    owner_.activityChanged(*this);
    checkDeliveryLater();
}

void ServerConnection::updateWatch()
{
    ACE_Reactor_Mask mask = NULL_MASK;
    const bool isBusy = state_ == State::Serving || state_ == State::Writing;
    if (state_ == State::Reading || (isBusy && unparsed_.size() < maxPipelinedBytes)
        || (state_ == State::Lingering && discardedBytes_ < maxDiscardedBytes))
        mask |= READ_MASK;
    if (state_ == State::Writing)
        mask |= WRITE_MASK;
    reactor_.watch(socket_, *this, mask);
}

void ServerConnection::closeConnection()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    reservation_.release();
    reactor_.unwatchAndClose(socket_);
    owner_.connectionClosed(*this);
}

} // namespace net::details
