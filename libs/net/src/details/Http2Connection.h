#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <ace/Event_Handler.h>
#include <net/ByteReservation.h>
#include <net/Header.h>
#include <nghttp2/nghttp2.h>

namespace net {

class Reactor;

namespace details {

/** State of one HTTP/2 stream: the message being received and the body being sent. */
struct Http2Stream
{
    Headers headers_; ///< received, including pseudo-header fields
    std::string body_;
    std::size_t headerBytes_ = 0;
    bool isRejected_ = false; ///< reset as too large; further data is discarded
    std::string outgoingBody_;
    std::size_t outgoingOffset_ = 0;
    ByteReservation reservation_; ///< both messages, until the stream is closed
};

/** Limits of the messages on a connection. */
struct Http2Limits
{
    std::size_t maxBodyBytes_;
    ByteBudget &budget_;
};

/**
 * Socket and nghttp2 session of one connection; base class of the server and client connections.
 *
 * Owned by a server or client through a unique_ptr and destroyed at the end of a loop iteration.
 */
class Http2Connection : public ACE_Event_Handler
{
public:
    Http2Connection(Reactor &reactor, int socket, const Http2Limits &limits);
    ~Http2Connection() override;

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

    /** Whether frames or bodies wait to be written to the socket. */
    bool hasUnsentOutput() const;

protected:
    /** A complete message has been received (END_STREAM). */
    virtual void messageReceived(std::int32_t stream, Http2Stream &&message) = 0;

    /** The stream is closed; errorCode is the HTTP/2 error code, 0 for a normal end. */
    virtual void streamClosed(std::int32_t stream, std::uint32_t errorCode) = 0;

    /** The socket is closed; the owner destroys the connection later. */
    virtual void connectionClosed() = 0;

    /** Starts the session as server or client and watches the socket. */
    void startServer();
    void startClient(bool isConnecting);

    /** Writes the pending output of the session at the end of this loop iteration. */
    void scheduleFlush();

    /** Closes the socket and calls connectionClosed(); no effect if already closed. */
    void closeConnection();

    bool isClosed() const { return isClosed_; }
    bool isConnecting() const { return isConnecting_; }
    nghttp2_session *session() { return session_; }
    Http2Stream &stream(std::int32_t id) { return streams_[id]; }
    nghttp2_data_provider bodyProvider();

    /** Stores the body of an outgoing message until it is sent. */
    void sendBody(std::int32_t stream, std::string body);

private:
    void start(bool isConnecting, bool isServer);
    void flush();
    bool fillOutput();
    bool writeOutput();
    void watchWrites(bool isEnabled);
    void reject(std::int32_t id);
    bool reserveField(Http2Stream &message, std::size_t size);
    bool reserveData(Http2Stream &message, std::size_t size);

    static nghttp2_session_callbacks *callbacks();
    static const nghttp2_option *serverOptions();
    static int onHeader(nghttp2_session *, const nghttp2_frame *, const std::uint8_t *, std::size_t,
                        const std::uint8_t *, std::size_t, std::uint8_t, void *);
    static int onData(nghttp2_session *, std::uint8_t, std::int32_t, const std::uint8_t *,
                      std::size_t, void *);
    static int onFrame(nghttp2_session *, const nghttp2_frame *, void *);
    static int onClose(nghttp2_session *, std::int32_t, std::uint32_t, void *);
    static ssize_t readBody(nghttp2_session *, std::int32_t, std::uint8_t *, std::size_t,
                            std::uint32_t *, nghttp2_data_source *, void *);

    Reactor &reactor_;
    int socket_;
    const Http2Limits limits_;
    bool isServer_ = false;
    nghttp2_session *session_ = nullptr;
    std::unordered_map<std::int32_t, Http2Stream> streams_;
    std::string output_;
    std::size_t outputOffset_ = 0;
    bool isConnecting_ = false;
    bool isClosed_ = false;
    bool isFlushPending_ = false;
    bool isWatchingWrites_ = false;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/** Makes an nghttp2 header field that refers to the given strings without copying them. */
nghttp2_nv makeField(const std::string &name, const std::string &value);

} // namespace details
} // namespace net
