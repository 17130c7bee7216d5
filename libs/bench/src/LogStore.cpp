#include <bench/LogStore.h>

#include <algorithm>
#include <utility>

namespace bench {

LogStore::LogStore(LogRetention retention)
    : retention_(retention)
{}

std::uint64_t LogStore::append(const std::string &stream, std::string data, base::Millis now)
{
    Stream &target = streams_[stream];
    const std::uint64_t offset = target.firstOffset_ + target.records_.size();
    target.records_.push_back(LogRecord{offset, now, std::move(data)});
    if (target.records_.size() > retention_.maxRecords_) {
        dropOldest(target);
    }
    return offset;
}

void LogStore::trim(const std::string &stream, std::uint64_t first)
{
    Stream &target = streams_[stream];
    while (!target.records_.empty() && target.firstOffset_ < first) {
        dropOldest(target);
    }
}

void LogStore::expire(base::Millis now)
{
    for (auto &[name, stream] : streams_) {
        while (!stream.records_.empty()
               && now - stream.records_.front().appendedAt_ > retention_.maxAge_) {
            dropOldest(stream);
        }
    }
}

LogPage LogStore::read(const std::string &stream, std::uint64_t from, std::size_t max) const
{
    LogPage page;
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return page;
    }
    const auto &[first, records] = found->second;
    page.firstOffset_ = first;
    page.nextOffset_ = first + records.size();
    page.trimmed_ = from < first;
    if (page.trimmed_ || from >= page.nextOffset_) {
        return page;
    }
    const std::size_t begin = from - first;
    const std::size_t count = std::min(max, records.size() - begin);
    const auto start = records.begin() + static_cast<std::ptrdiff_t>(begin);
    page.records_.assign(start, start + static_cast<std::ptrdiff_t>(count));
    return page;
}

void LogStore::dropOldest(Stream &stream)
{
    stream.records_.pop_front();
    ++stream.firstOffset_;
}

} // namespace bench
