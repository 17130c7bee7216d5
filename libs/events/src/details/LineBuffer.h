#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace events::details {

/**
 * Log lines that the reader of the log has not taken yet, within a bound on their size. Lines that
 * do not fit are dropped and counted. No I/O.
 */
class LineBuffer
{
public:
    explicit LineBuffer(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {}

    /** Appends a whole line, or drops it. */
    void add(std::string line);

    /** The rest of the oldest line; empty if there is none. */
    std::string_view front() const;

    /** Removes the first bytes of front(). */
    void remove(std::size_t size);

    /** Drops all lines. */
    void clear();

    /**
     * Number of lines dropped since the last call. Zero while less than half of the buffer is free,
     * so that a reader that is only slow does not get one report for each line.
     */
    std::uint64_t takeDropped();

private:
    const std::size_t maxBytes_;
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;   ///< of all lines, including what was removed of the first
    std::size_t removed_ = 0; ///< of the first line
    std::uint64_t dropped_ = 0;
};

} // namespace events::details
