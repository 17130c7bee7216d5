#pragma once

#include <model/Address.h>

namespace net::details {

/** A socket that is connected or connecting. */
struct OpenSocket
{
    int socket_ = -1; ///< -1 if connecting failed immediately
    bool isConnecting_ = false;
};

/** Connects without blocking, with dead peer detection. */
OpenSocket openConnection(const model::Address &to);

/** Whether the pending connect of the socket has failed. */
bool hasConnectFailed(int socket);

} // namespace net::details
