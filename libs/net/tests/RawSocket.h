#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <model/Address.h>

namespace net {
class Reactor;
}

/** One end of a TCP connection that sends just the bytes it is told to; for tests. */
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

    /** Sends as much as the connection takes at once; nothing if it is broken. */
    void sendSome(std::string_view bytes) const;

    /** What has come and was not received yet; does not wait. */
    std::string receiveAvailable() const;

    /** Receives until the text has come or the other side has closed; returns all that came. */
    std::string receiveUntil(net::Reactor &reactor, std::string_view text) const;

    /** Whether the other side closes within a second. */
    bool isClosed(net::Reactor &reactor) const;

    /** Closes so that the other side sees a reset. */
    void reset();
    void close();

private:
    int socket_ = -1;
};

/** A TCP port that accepts connections one at a time; for tests. */
class RawListener
{
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    model::Address address() const { return {"127.0.0.1", port_}; }

    /** The next connection, for which the reactor runs meanwhile. */
    RawSocket accept(net::Reactor &reactor) const;

    /** Whether a connection waits to be accepted. */
    bool hasPendingConnection() const;

private:
    int socket_ = -1;
    std::uint16_t port_ = 0;
};
