#include "AllotterRecord.h"

#include <charconv>

namespace dock::details {

std::string AllotterRecord::encode() const
{
    return std::to_string(holder_.generation_) + " " + controlAddress_.text();
}

std::optional<AllotterRecord> AllotterRecord::parse(const std::string &key,
                                                    const std::string &value)
{
    AllotterRecord record{{key, 0}, {}};
    const auto *end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, record.holder_.generation_);
    if (key.empty() || error != std::errc() || rest == end || *rest != ' ')
        return std::nullopt;
    const auto address = model::Address::parse(std::string(rest + 1, end));
    if (!address)
        return std::nullopt;
    record.controlAddress_ = *address;
    return record;
}

} // namespace dock::details
