#include "details/DeadPeerDetection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace net::details {

namespace {

/** Time for two retransmissions, after 200 and 400 ms, and their acknowledgement. */
constexpr unsigned unacknowledgedTimeoutMs = 1000;

constexpr int idleSecondsBeforeProbe = 1;
constexpr int secondsBetweenProbes = 1;
constexpr int probesBeforeClose = 2;

} // namespace

void enableDeadPeerDetection(int socket)
{
    const int isOn = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMs,
                 sizeof(unacknowledgedTimeoutMs));
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof(isOn));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSecondsBeforeProbe,
                 sizeof(idleSecondsBeforeProbe));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &secondsBetweenProbes,
                 sizeof(secondsBetweenProbes));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probesBeforeClose, sizeof(probesBeforeClose));
}

} // namespace net::details
