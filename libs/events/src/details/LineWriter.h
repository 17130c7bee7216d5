#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <sys/types.h>

#include <base/Millis.h>
#include <details/LineBuffer.h>

namespace events::details {

/**
 * Writes log lines to a descriptor without ever waiting for its reader. Not thread-safe.
 *
 * The descriptor stays in blocking mode, as its file description may be shared with other
 * processes.
 */
class LineWriter
{
public:
    /** Writes to `descriptor`, which must stay open, and holds up to `maxBytes` of lines. */
    LineWriter(int descriptor, std::size_t maxBytes);

    void write(std::string line);

    /** Writes what the reader takes now. */
    void flush();

    /** Waits for the reader until all lines are written, for at most `time`. */
    void flushWithin(base::Millis time);

    std::uint64_t takeDropped() { return buffer_.takeDropped(); }

private:
    bool isWritable(int waitMs) const;
    ssize_t writeSome(std::string_view bytes) const;

    const int descriptor_;
    const bool isSocket_;
    LineBuffer buffer_;
};

} // namespace events::details
