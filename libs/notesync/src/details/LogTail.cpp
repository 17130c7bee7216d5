#include "details/LogTail.h"

namespace notesync::details {

namespace {
constexpr std::size_t maxRecords = 256;
constexpr std::size_t maxBytes = 512 * 1024;
} // namespace

void LogTail::add(const logclient::LogRecord &record, bool isSnapshot)
{
    if (isSnapshot)
        return;
    records_.push_back(record);
    bytes_ += record.data_.size();
    while (records_.size() > maxRecords || bytes_ > maxBytes) {
        fromOffset_ = records_.front().offset_ + 1;
        bytes_ -= records_.front().data_.size();
        records_.pop_front();
    }
}

void LogTail::restart(std::uint64_t offset)
{
    records_.clear();
    bytes_ = 0;
    fromOffset_ = offset;
}

std::vector<logclient::LogRecord> LogTail::recordsFrom(std::uint64_t offset) const
{
    std::vector<logclient::LogRecord> result;
    for (const auto &record : records_) {
        if (record.offset_ >= offset)
            result.push_back(record);
    }
    return result;
}

} // namespace notesync::details
