#include <details/LineBuffer.h>

#include <utility>

namespace events::details {

void LineBuffer::add(std::string line)
{
    if (line.empty())
        return;
    if (bytes_ + line.size() > maxBytes_) {
        ++dropped_;
        return;
    }
    bytes_ += line.size();
    lines_.push_back(std::move(line));
}

std::string_view LineBuffer::front() const
{
    return lines_.empty() ? std::string_view() : std::string_view(lines_.front()).substr(removed_);
}

void LineBuffer::remove(std::size_t size)
{
    removed_ += size;
    if (lines_.empty() || removed_ < lines_.front().size())
        return;
    bytes_ -= lines_.front().size();
    lines_.pop_front();
    removed_ = 0;
}

void LineBuffer::clear()
{
    dropped_ += lines_.size();
    lines_.clear();
    bytes_ = removed_ = 0;
}

std::uint64_t LineBuffer::takeDropped()
{
    return bytes_ > maxBytes_ / 2 ? 0 : std::exchange(dropped_, 0);
}

} // namespace events::details
