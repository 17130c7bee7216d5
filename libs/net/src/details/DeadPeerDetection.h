#pragma once

namespace net::details {

/**
 * Makes the system close a connection whose other side acknowledges nothing for about a second:
 * an instance without power, or a connection that a network element has forgotten.
 */
void enableDeadPeerDetection(int socket);

} // namespace net::details
