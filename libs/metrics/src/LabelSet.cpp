#include <metrics/LabelSet.h>

#include <algorithm>
#include <utility>

namespace metrics {

namespace {

// Bytes that are no UTF-8 would make the whole page of metrics unreadable.
bool isPrintableAscii(std::string_view name)
{
    return std::all_of(name.begin(), name.end(),
                       [](char byte) { return byte >= ' ' && byte <= '~'; });
}

} // namespace

LabelSet::LabelSet(std::size_t limitOfOthers)
    : limitOfOthers_(limitOfOthers)
{}

void LabelSet::configure(std::set<std::string, std::less<>> names)
{
    configured_ = std::move(names);
    std::erase_if(others_, [this](const auto &name) { return configured_.contains(name); });
}

std::string_view LabelSet::labelFor(std::string_view name)
{
    if (name.empty())
        return "none";
    if (const auto known = configured_.find(name); known != configured_.end())
        return *known;
    if (const auto known = others_.find(name); known != others_.end())
        return *known;
    const bool isFull = others_.size() >= limitOfOthers_;
    if (isFull || name.size() > longestName || !isPrintableAscii(name))
        return "other";
    return *others_.emplace(name).first;
}

} // namespace metrics
