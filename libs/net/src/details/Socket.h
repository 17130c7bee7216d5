#pragma once

#include <cstddef>

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

/** Takes the pending error of the socket, as of a failed connect or a reset; 0 if there is none. */
int takeError(int socket);

/** Bytes written to the socket that its peer has not acknowledged; 0 if that is not known. */
std::size_t undeliveredBytes(int socket);

} // namespace net::details
