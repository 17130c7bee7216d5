#pragma once

#include <model/Address.h>

namespace net::details {

/** A socket on which a connection was begun. */
struct OpenSocket
{
    int socket_ = -1; ///< -1 if the connection failed at once
    bool isConnecting_ = false;
};

/** Begins a connection without waiting for it; it is closed when the other side is silent. */
OpenSocket openConnection(const model::Address &to);

/** Whether the connection that was begun on the socket has failed. */
bool hasConnectFailed(int socket);

} // namespace net::details
