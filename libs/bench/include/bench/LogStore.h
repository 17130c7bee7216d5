#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <base/Millis.h>
#include <bench/LogPage.h>
#include <bench/LogRetention.h>

namespace bench {

/** In-memory records of the simulated platform log, by stream. Uses no I/O and no clock. */
class LogStore
{
public:
    explicit LogStore(LogRetention retention);

    /** Appends a record and returns its offset. */
    std::uint64_t append(const std::string &stream, std::string data, base::Millis now);

    /** Removes the records of the stream below the offset. */
    void trim(const std::string &stream, std::uint64_t first);

    /** Removes the records older than LogRetention::maxAge_. */
    void expire(base::Millis now);

    /** Up to max records from the offset; trimmed_ is set if it is below the first offset. */
    LogPage read(const std::string &stream, std::uint64_t from, std::size_t max) const;

private:
    struct Stream
    {
        std::uint64_t firstOffset_ = 0;
        std::deque<LogRecord> records_;
    };

    static void dropOldest(Stream &stream);

    LogRetention retention_;
    std::map<std::string, Stream> streams_;
};

} // namespace bench
