#include <details/LineWriter.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <base/Clock.h>

namespace events::details {

namespace {

bool isSocket(int descriptor)
{
    struct stat status = {};
    return ::fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

} // namespace

LineWriter::LineWriter(int descriptor, std::size_t maxBytes)
    : descriptor_(descriptor)
    , isSocket_(isSocket(descriptor))
    , buffer_(maxBytes)
{}

void LineWriter::write(std::string line)
{
    buffer_.add(std::move(line));
    flush();
}

void LineWriter::flush()
{
    while (!buffer_.front().empty() && isWritable(0)) {
        const auto written = writeSome(buffer_.front());
        if (written > 0)
            buffer_.remove(static_cast<std::size_t>(written));
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            return;
        else if (errno != EINTR)
            return buffer_.clear();
    }
}

void LineWriter::flushWithin(base::Millis time)
{
    const auto end = base::elapsedNow() + time;
    for (flush(); !buffer_.front().empty(); flush()) {
        const auto left = end - base::elapsedNow();
        if (left <= base::Millis() || !isWritable(static_cast<int>(left.count()) + 1))
            return;
    }
}

bool LineWriter::isWritable(int waitMs) const
{
    pollfd entry = {descriptor_, POLLOUT, 0};
    return ::poll(&entry, 1, waitMs) > 0;
}

ssize_t LineWriter::writeSome(std::string_view bytes) const
{
    if (isSocket_)
        return ::send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // A pipe that is writable takes this much at once, unless another process that writes to it
    // came first.
    return ::write(descriptor_, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
}

} // namespace events::details
