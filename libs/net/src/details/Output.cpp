#include "details/Output.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>
#include <sys/uio.h>

#include "details/Body.h"

namespace net::details {

namespace {

Output::Progress progressAfter(int error)
{
    switch (error) {
    case EAGAIN:
        return Output::Progress::Blocked;
    case EPIPE:
        return Output::Progress::PeerClosed;
    default:
        return Output::Progress::Failed;
    }
}

} // namespace

Output::Progress Output::writeTo(int socket)
{
    while (!isDone()) {
        std::array<iovec, 2> parts = {};
        std::size_t count = 0;
        if (written_ < head_.size())
            parts[count++] = {head_.data() + written_, head_.size() - written_};
        const auto bodyWritten = written_ > head_.size() ? written_ - head_.size() : 0;
        if (bodyWritten < body_.size())
            parts[count++] = {body_.data() + bodyWritten, body_.size() - bodyWritten};
        msghdr message = {};
        message.msg_iov = parts.data();
        message.msg_iovlen = count;
        const auto sent = ::sendmsg(socket, &message, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0)
            return progressAfter(errno);
        written_ += static_cast<std::size_t>(sent);
    }
    return Progress::Done;
}

void Output::clear()
{
    freeMemory(head_);
    freeMemory(body_);
    written_ = 0;
}

} // namespace net::details
