#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <logclient/LogRecord.h>

namespace notesync::details {

/** Buffer of the newest log records, from which peers that lack only these get a delta. */
class LogTail
{
public:
    /** Adds a record; skips snapshots, which change nothing at a peer that has the others. */
    void add(const logclient::LogRecord &record, bool isSnapshot);

    /** Clears the buffer; it then covers the records from `offset` on. */
    void restart(std::uint64_t offset);

    /** Whether all records from `offset` on are in the buffer. */
    bool covers(std::uint64_t offset) const { return offset >= fromOffset_; }

    std::vector<logclient::LogRecord> recordsFrom(std::uint64_t offset) const;

private:
    std::deque<logclient::LogRecord> records_;
    std::uint64_t fromOffset_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace notesync::details
