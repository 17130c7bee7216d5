#include <metrics/LabelSet.h>

#include <algorithm>
#include <utility>

namespace metrics {

namespace {

// Bytes that are not valid UTF-8 would make the whole metrics page unreadable.
bool isPrintableAscii(std::string_view name)
{
    return std::all_of(name.begin(), name.end(),
                       [](char byte) { return byte >= ' ' && byte <= '~'; });
}

} // namespace

LabelSet::LabelSet(std::size_t maxUnconfigured)
    : maxUnconfigured_(maxUnconfigured)
{}

void LabelSet::configure(std::set<std::string, std::less<>> names)
{
    configured_ = std::move(names);
    std::erase_if(unconfigured_, [this](const auto &name) { return configured_.contains(name); });
}

std::string_view LabelSet::labelFor(std::string_view name)
{
    if (name.empty())
        return "none";
    if (const auto found = configured_.find(name); found != configured_.end())
        return *found;
    if (const auto found = unconfigured_.find(name); found != unconfigured_.end())
        return *found;
    const bool isFull = unconfigured_.size() >= maxUnconfigured_;
    if (isFull || name.size() > maxNameBytes || !isPrintableAscii(name))
        return "other";
    return *unconfigured_.emplace(name).first;
}

} // namespace metrics
