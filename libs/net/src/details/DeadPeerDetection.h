#pragma once

namespace net::details {

/**
 * Makes the kernel close a connection whose peer acknowledges nothing for about a second, for
 * instance after a power failure or when a network element has dropped the connection state.
 */
void enableDeadPeerDetection(int socket);

} // namespace net::details
