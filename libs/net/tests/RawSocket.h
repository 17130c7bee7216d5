#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <model/Address.h>

namespace net {
class Reactor;
}

/** One end of a TCP connection that sends raw bytes; for tests. */
class RawSocket
{
public:
    RawSocket() = default;
    explicit RawSocket(int socket)
        : socket_(socket)
    {}
    ~RawSocket();
    RawSocket(RawSocket &&other) noexcept;
    RawSocket &operator=(RawSocket &&other) noexcept;

    static RawSocket connectTo(const model::Address &to);

    void send(std::string_view bytes) const;

    /** Sends as much as the socket accepts without blocking; ignores errors. */
    void sendSome(std::string_view bytes) const;

    /** Received bytes that are available, without waiting. */
    std::string receiveAvailable() const;

    /** Receives until the text or the end of the connection; returns all received bytes. */
    std::string receiveUntil(net::Reactor &reactor, std::string_view text) const;

    /** Whether the peer closes the connection within a second. */
    bool isClosed(net::Reactor &reactor) const;

    /** Ends the bytes sent; the peer reads a regular end of the connection. */
    void shutdownOutput() const;

    /** Closes the connection with a reset. */
    void reset();
    void close();

private:
    int socket_ = -1;
};

/** A TCP listener that accepts connections one at a time; for tests. */
class RawListener
{
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    model::Address address() const { return {"127.0.0.1", port_}; }

    /** Accepts the next connection; runs the reactor while waiting for it. */
    RawSocket accept(net::Reactor &reactor) const;

    /** Whether a connection is waiting to be accepted. */
    bool hasPendingConnection() const;

private:
    int socket_ = -1;
    std::uint16_t port_ = 0;
};
