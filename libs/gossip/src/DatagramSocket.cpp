#include "DatagramSocket.h"

#include <array>
#include <cstring>

#include <ace/INET_Addr.h>
#include <membership/Datagram.h>
#include <net/Reactor.h>

namespace gossip {
namespace {

/** Bounds one call of handle_input() so that other handlers of the reactor can run. */
constexpr int maxDatagramsPerCall = 64;

/** Larger than any valid datagram, so that oversized ones are detected instead of truncated. */
constexpr std::size_t bufferBytes = 2 * membership::maxDatagramBytes;

} // namespace

DatagramSocket::DatagramSocket(net::Reactor &reactor, Receiver receiver)
    : reactor_(reactor)
    , receiver_(std::move(receiver))
{}

DatagramSocket::~DatagramSocket()
{
    if (socket_.get_handle() == ACE_INVALID_HANDLE)
        return;
    reactor_.unwatch(get_handle());
    socket_.close();
}

base::Result<void> DatagramSocket::bind(const model::Address &address)
{
    const ACE_INET_Addr local(address.port_, address.host_.c_str());
    const bool isBound =
            socket_.open(local, AF_INET, 0, 0) == 0 && socket_.enable(ACE_NONBLOCK) == 0;
    if (!isBound)
        return base::fail("bind-failed", "UDP " + address.text() + ": " + std::strerror(errno));
    reactor_.watch(get_handle(), *this, READ_MASK);
    return {};
}

bool DatagramSocket::send(const model::Address &to, std::string_view bytes)
{
    const ACE_INET_Addr remote(to.port_, to.host_.c_str());
    return socket_.send(bytes.data(), bytes.size(), remote) == static_cast<ssize_t>(bytes.size());
}

std::uint16_t DatagramSocket::port() const
{
    ACE_INET_Addr local;
    return socket_.get_local_addr(local) == 0 ? local.get_port_number() : 0;
}

int DatagramSocket::handle_input(ACE_HANDLE)
{
    std::array<char, bufferBytes> buffer;
    for (int i = 0; i < maxDatagramsPerCall; ++i) {
        ACE_INET_Addr remote;
        const auto length = socket_.recv(buffer.data(), buffer.size(), remote);
        if (length < 0)
            return 0;
        char host[INET_ADDRSTRLEN] = {};
        if (remote.get_host_addr(host, sizeof host))
            receiver_({host, remote.get_port_number()},
                      {buffer.data(), static_cast<std::size_t>(length)});
    }
    return 0;
}

} // namespace gossip
