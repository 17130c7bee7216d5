#include "details/Socket.h"

#include <cerrno>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "details/DeadPeerDetection.h"

namespace net::details {

OpenSocket openConnection(const model::Address &to)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return {};
    const int isOn = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    enableDeadPeerDetection(socket);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port_);
    inet_pton(AF_INET, to.host_.c_str(), &address.sin_addr);
    const auto status = ::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    const bool isConnecting = status != 0 && errno == EINPROGRESS;
    if (status == 0 || isConnecting)
        return {socket, isConnecting};
    ::close(socket);
    return {};
}

int takeError(int socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

std::size_t undeliveredBytes(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace net::details
