#include "RawSocket.h"

#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <net/Reactor.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr base::Millis pollInterval(1);
constexpr int maxWaitIterations = 5000;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
}

} // namespace

RawSocket::~RawSocket()
{
    close();
}

RawSocket::RawSocket(RawSocket &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
{}

RawSocket &RawSocket::operator=(RawSocket &&other) noexcept
{
    std::swap(socket_, other.socket_);
    return *this;
}

RawSocket RawSocket::connectTo(const model::Address &to)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(to.port_);
    EXPECT_EQ(::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    return RawSocket(socket);
}

void RawSocket::send(std::string_view bytes) const
{
    ASSERT_EQ(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
}

void RawSocket::sendSome(std::string_view bytes) const
{
    static_cast<void>(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

std::string RawSocket::receiveAvailable() const
{
    std::array<char, 65536> buffer;
    const auto count = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
}

std::string RawSocket::receiveUntil(net::Reactor &reactor, std::string_view text) const
{
    std::string received;
    std::array<char, 65536> buffer;
    for (int i = 0; i < maxWaitIterations && received.find(text) == std::string::npos; ++i) {
        reactor.runFor(pollInterval);
        const auto count = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN))
            break;
        if (count > 0)
            received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return received;
}

bool RawSocket::isClosed(net::Reactor &reactor) const
{
    constexpr int iterationsPerSecond = 1000;
    for (int i = 0; i < iterationsPerSecond; ++i) {
        reactor.runFor(pollInterval);
        char byte = 0;
        const auto count = ::recv(socket_, &byte, 1, MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN))
            return true;
    }
    return false;
}

void RawSocket::shutdownOutput() const
{
    ::shutdown(socket_, SHUT_WR);
}

void RawSocket::reset()
{
    const linger abort = {.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close();
}

void RawSocket::close()
{
    if (socket_ >= 0)
        ::close(std::exchange(socket_, -1));
}

RawListener::RawListener()
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    EXPECT_EQ(::bind(socket_, reinterpret_cast<const sockaddr *>(&address), size), 0);
    EXPECT_EQ(::listen(socket_, SOMAXCONN), 0);
    ::getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
}

RawListener::~RawListener()
{
    ::close(socket_);
}

RawSocket RawListener::accept(net::Reactor &reactor) const
{
    for (int i = 0; i < maxWaitIterations && !hasPendingConnection(); ++i)
        reactor.runFor(pollInterval);
    return RawSocket(hasPendingConnection() ? ::accept(socket_, nullptr, nullptr) : -1);
}

bool RawListener::hasPendingConnection() const
{
    pollfd listener = {socket_, POLLIN, 0};
    return ::poll(&listener, 1, 0) > 0;
}
