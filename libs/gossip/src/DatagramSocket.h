#pragma once

#include <functional>
#include <string_view>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Dgram.h>
#include <base/Error.h>
#include <model/Address.h>

namespace net {
class Reactor;
}

namespace gossip {

/** Non-blocking UDP socket on a reactor. */
class DatagramSocket : public ACE_Event_Handler
{
public:
    using Receiver = std::function<void(const model::Address &from, std::string_view bytes)>;

    DatagramSocket(net::Reactor &reactor, Receiver receiver);
    ~DatagramSocket() override;

    /** Fails with "bind-failed". */
    base::Result<void> bind(const model::Address &address);

    /** Returns false if the operating system rejects the datagram. */
    bool send(const model::Address &to, std::string_view bytes);

    std::uint16_t port() const;

    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    int handle_input(ACE_HANDLE) override;

private:
    net::Reactor &reactor_;
    Receiver receiver_;
    ACE_SOCK_Dgram socket_;
};

} // namespace gossip
