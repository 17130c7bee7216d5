#include <admission/DownstreamLevels.h>

#include <algorithm>

namespace admission {

DownstreamLevels::DownstreamLevels(base::Millis expiry)
    : expiry_(expiry)
{}

void DownstreamLevels::observe(std::string_view requestClass, std::string_view callee, Level level,
                               base::Millis now)
{
    if (size_ >= maxEntries)
        prune(now);
    if (size_ >= maxEntries)
        return;
    auto group = byClass_.find(requestClass);
    if (group == byClass_.end())
        group = byClass_.emplace(requestClass, ByCallee()).first;
    if (auto found = group->second.find(callee); found != group->second.end()) {
        found->second = {level, now};
        return;
    }
    group->second.emplace(callee, Observation{level, now});
    ++size_;
}

Level DownstreamLevels::effective(std::string_view requestClass, Level ownLevel,
                                  base::Millis now) const
{
    Level result = ownLevel;
    const auto group = byClass_.find(requestClass);
    if (group == byClass_.end())
        return result;
    for (const auto &[callee, observation] : group->second) {
        if (now - observation.observedAt_ < expiry_)
            result = std::min(result, observation.level_);
    }
    return result;
}

bool DownstreamLevels::admits(std::string_view requestClass, const Priority &priority,
                              base::Millis now) const
{
    return effective(requestClass, Level::all(), now).admits(priority);
}

void DownstreamLevels::prune(base::Millis now)
{
    for (auto &[name, group] : byClass_) {
        size_ -= std::erase_if(group, [&](const auto &entry) {
            return now - entry.second.observedAt_ >= expiry_;
        });
    }
    std::erase_if(byClass_, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t DownstreamLevels::size() const
{
    return size_;
}

} // namespace admission
