#include "details/Http2Connection.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <net/Reactor.h>
#include <sys/socket.h>

#include "details/Body.h"
#include "details/Socket.h"

namespace net::details {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;
constexpr std::size_t outputTargetBytes = 256 * 1024;
constexpr std::uint32_t maxConcurrentStreams = 8192;

/**
 * Burst, and rate per second, of stream resets accepted on one connection. Each cancelled call
 * resets a stream; the default rate of nghttp2, 33 per second, would close the connection and so
 * fail the calls of other callers.
 */
constexpr std::uint64_t maxStreamResets = 1'000'000;
constexpr std::int32_t streamWindowBytes = 1024 * 1024;
constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;

/** Header fields of one message, including the overhead of each field that HTTP/2 counts. */
constexpr std::size_t maxHeaderBytes = 64 * 1024;
constexpr std::size_t headerFieldOverheadBytes = 32;

/** Larger buffers are freed once written, as there is a connection to every daemon. */
constexpr std::size_t maxRetainedOutputBytes = 16 * 1024;

/** An instance that does not accept a connection in this time is considered unreachable. */
constexpr base::Millis connectTimeout(500);

Http2Connection &connectionFrom(void *userData)
{
    return *static_cast<Http2Connection *>(userData);
}

} // namespace

nghttp2_nv makeField(const std::string &name, const std::string &value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

Http2Connection::Http2Connection(Reactor &reactor, int socket, const Http2Limits &limits)
    : reactor_(reactor)
    , socket_(socket)
    , limits_(limits)
{}

Http2Connection::~Http2Connection()
{
    *isAlive_ = false;
    if (!isClosed_)
        reactor_.unwatchAndClose(socket_);
    nghttp2_session_del(session_);
}

nghttp2_session_callbacks *Http2Connection::callbacks()
{
    static nghttp2_session_callbacks *instance = [] {
        nghttp2_session_callbacks *result = nullptr;
        nghttp2_session_callbacks_new(&result);
        nghttp2_session_callbacks_set_on_header_callback(result, &onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(result, &onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(result, &onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(result, &onClose);
        return result;
    }();
    return instance;
}

const nghttp2_option *Http2Connection::serverOptions()
{
    static const nghttp2_option *instance = [] {
        nghttp2_option *result = nullptr;
        nghttp2_option_new(&result);
        nghttp2_option_set_stream_reset_rate_limit(result, maxStreamResets, maxStreamResets);
        return result;
    }();
    return instance;
}

void Http2Connection::startServer()
{
    start(false, true);
}

void Http2Connection::startClient(bool isConnecting)
{
    start(isConnecting, false);
    if (!isConnecting)
        return;
    reactor_.schedule(connectTimeout, [this, alive = isAlive_] {
        if (*alive && isConnecting_)
            closeConnection();
    });
}

void Http2Connection::start(bool isConnecting, bool isServer)
{
    isConnecting_ = isConnecting;
    isServer_ = isServer;
    if (isServer)
        nghttp2_session_server_new2(&session_, callbacks(), this, serverOptions());
    else
        nghttp2_session_client_new(&session_, callbacks(), this);
    const nghttp2_settings_entry settings[] = {
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    ACE_Reactor_Mask mask = READ_MASK;
    if (isConnecting) {
        mask |= WRITE_MASK;
        isWatchingWrites_ = true;
    }
    reactor_.watch(socket_, *this, mask);
    if (!isConnecting)
        scheduleFlush();
}

int Http2Connection::handle_input(ACE_HANDLE)
{
    static thread_local std::uint8_t buffer[readChunkBytes];
    while (!isClosed_) {
        const auto count = ::recv(socket_, buffer, sizeof(buffer), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (count <= 0 || nghttp2_session_mem_recv(session_, buffer, count) < 0) {
            closeConnection();
            return 0;
        }
        if (static_cast<std::size_t>(count) < sizeof(buffer))
            break;
    }
    scheduleFlush();
    return 0;
}

int Http2Connection::handle_output(ACE_HANDLE)
{
    if (isConnecting_) {
        if (takeError(socket_) != 0) {
            closeConnection();
            return 0;
        }
        isConnecting_ = false;
    }
    flush();
    return 0;
}

bool Http2Connection::hasUnsentOutput() const
{
    if (isClosed_)
        return false;
    // A body that waits for the peer's flow control window is no output of the session.
    const auto hasUnsentBody = [](const auto &entry) {
        return entry.second.outgoingOffset_ < entry.second.outgoingBody_.size();
    };
    return outputOffset_ < output_.size() || nghttp2_session_want_write(session_) != 0
           || std::any_of(streams_.begin(), streams_.end(), hasUnsentBody);
}

void Http2Connection::scheduleFlush()
{
    if (isFlushPending_ || isClosed_)
        return;
    isFlushPending_ = true;
    reactor_.post([this, alive = isAlive_] {
        if (!*alive)
            return;
        isFlushPending_ = false;
        flush();
    });
}

bool Http2Connection::fillOutput()
{
    if (outputOffset_ == output_.size()) {
        if (output_.capacity() > maxRetainedOutputBytes)
            freeMemory(output_);
        output_.clear();
        outputOffset_ = 0;
    }
    while (output_.size() < outputTargetBytes) {
        const std::uint8_t *data = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &data);
        if (count < 0)
            return false;
        if (count == 0)
            break;
        output_.append(reinterpret_cast<const char *>(data), count);
    }
    return true;
}

bool Http2Connection::writeOutput()
{
    while (outputOffset_ < output_.size()) {
        const auto count = ::send(socket_, output_.data() + outputOffset_,
                                  output_.size() - outputOffset_, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && errno == EAGAIN)
            return true;
        if (count < 0)
            return false;
        outputOffset_ += count;
    }
    return true;
}

void Http2Connection::flush()
{
    if (isClosed_ || isConnecting_)
        return;
    do {
        if (!fillOutput() || !writeOutput()) {
            closeConnection();
            return;
        }
    } while (outputOffset_ == output_.size() && nghttp2_session_want_write(session_) != 0
             && !output_.empty());
    watchWrites(outputOffset_ < output_.size());
    const bool isFinished =
            nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
    if (isFinished && outputOffset_ == output_.size())
        closeConnection();
}

void Http2Connection::watchWrites(bool isEnabled)
{
    if (isEnabled == isWatchingWrites_)
        return;
    isWatchingWrites_ = isEnabled;
    const ACE_Reactor_Mask mask = isEnabled ? READ_MASK | WRITE_MASK : READ_MASK;
    reactor_.watch(socket_, *this, mask);
}

void Http2Connection::closeConnection()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    // Returns the reservations now: the connection may be destroyed later than its budget.
    streams_.clear();
    reactor_.unwatchAndClose(socket_);
    connectionClosed();
}

nghttp2_data_provider Http2Connection::bodyProvider()
{
    nghttp2_data_provider provider = {};
    provider.read_callback = &readBody;
    return provider;
}

void Http2Connection::sendBody(std::int32_t id, std::string body)
{
    auto &message = stream(id);
    message.reservation_.reserve(limits_.budget_, body.size());
    message.outgoingBody_ = std::move(body);
}

void Http2Connection::reject(std::int32_t id)
{
    auto &message = stream(id);
    message.isRejected_ = true;
    message.headers_.clear();
    freeMemory(message.body_);
    message.reservation_.release();
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id,
                              isServer_ ? NGHTTP2_REFUSED_STREAM : NGHTTP2_CANCEL);
}

bool Http2Connection::reserveField(Http2Stream &message, std::size_t size)
{
    message.headerBytes_ += size;
    return message.headerBytes_ <= maxHeaderBytes
           && message.reservation_.tryReserve(limits_.budget_, size);
}

bool Http2Connection::reserveData(Http2Stream &message, std::size_t size)
{
    return message.body_.size() + size <= limits_.maxBodyBytes_
           && message.reservation_.tryReserve(limits_.budget_, size);
}

int Http2Connection::onHeader(nghttp2_session *, const nghttp2_frame *frame,
                              const std::uint8_t *name, std::size_t nameSize,
                              const std::uint8_t *value, std::size_t valueSize, std::uint8_t,
                              void *userData)
{
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    auto &connection = connectionFrom(userData);
    auto &message = connection.stream(frame->hd.stream_id);
    if (message.isRejected_)
        return 0;
    if (!connection.reserveField(message, nameSize + valueSize + headerFieldOverheadBytes)) {
        connection.reject(frame->hd.stream_id);
        return 0;
    }
    message.headers_.push_back({std::string(reinterpret_cast<const char *>(name), nameSize),
                                std::string(reinterpret_cast<const char *>(value), valueSize)});
    return 0;
}

int Http2Connection::onData(nghttp2_session *, std::uint8_t, std::int32_t id,
                            const std::uint8_t *data, std::size_t size, void *userData)
{
    auto &connection = connectionFrom(userData);
    auto &message = connection.stream(id);
    if (message.isRejected_)
        return 0;
    if (!connection.reserveData(message, size)) {
        connection.reject(id);
        return 0;
    }
    appendBody(message.body_, {reinterpret_cast<const char *>(data), size});
    return 0;
}

int Http2Connection::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    const bool endsMessage = (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA)
                             && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (!endsMessage)
        return 0;
    auto &connection = connectionFrom(userData);
    const auto id = frame->hd.stream_id;
    const auto found = connection.streams_.find(id);
    if (found == connection.streams_.end() || found->second.isRejected_)
        return 0;
    Http2Stream message = std::exchange(found->second, Http2Stream());
    found->second.reservation_ = std::move(message.reservation_);
    connection.messageReceived(id, std::move(message));
    return 0;
}

int Http2Connection::onClose(nghttp2_session *, std::int32_t id, std::uint32_t errorCode,
                             void *userData)
{
    auto &connection = connectionFrom(userData);
    connection.streams_.erase(id);
    connection.streamClosed(id, errorCode);
    return 0;
}

ssize_t Http2Connection::readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                                  std::size_t size, std::uint32_t *flags, nghttp2_data_source *,
                                  void *userData)
{
    auto &stream = connectionFrom(userData).stream(id);
    const auto remaining = stream.outgoingBody_.size() - stream.outgoingOffset_;
    const auto count = std::min(remaining, size);
    std::memcpy(buffer, stream.outgoingBody_.data() + stream.outgoingOffset_, count);
    stream.outgoingOffset_ += count;
    if (count == remaining)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

} // namespace net::details
