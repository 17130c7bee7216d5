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

/** Records of the stand-in log, by stream. No I/O and no clock. */
class LogStore
{
public:
    explicit LogStore(LogRetention retention);

    /** Adds a record and returns its offset. */
    std::uint64_t append(const std::string &stream, std::string data, base::Millis now);

    /** Forgets the records of the stream below the offset. */
    void trim(const std::string &stream, std::uint64_t first);

    /** Forgets the records that have outlived the retention. */
    void expire(base::Millis now);

    /** Up to max records from the offset; flags a page that starts below the first offset. */
    LogPage page(const std::string &stream, std::uint64_t from, std::size_t max) const;

private:
    struct Stream
    {
        std::uint64_t first_ = 0;
        std::deque<LogRecord> records_;
    };

    static void dropOldest(Stream &stream);

    LogRetention retention_;
    std::map<std::string, Stream> streams_;
};

} // namespace bench
