#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <logclient/LogRecord.h>

namespace notesync::details {

/** The newest records of the log, kept for peers that lack only these. */
class Tail
{
public:
    /** Adds a record; snapshots are left out, since they change nothing for whom has the rest. */
    void add(const logclient::LogRecord &record, bool isSnapshot);

    /** Forgets all; the records from the offset on are kept next. */
    void restart(std::uint64_t offset);

    /** Whether all records from the offset on are there. */
    bool covers(std::uint64_t offset) const { return offset >= from_; }

    std::vector<logclient::LogRecord> recordsFrom(std::uint64_t offset) const;

private:
    std::deque<logclient::LogRecord> records_;
    std::uint64_t from_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace notesync::details
