#include <retry/CallingClasses.h>

namespace retry {

void CallingClasses::recordRun(std::string_view requestClass, bool hasMadeCalls)
{
    auto found = classes_.find(requestClass);
    if (found == classes_.end()) {
        if (classes_.size() >= maxClasses)
            return;
        found = classes_.emplace(requestClass, Runs{}).first;
    }
    auto &runs = found->second;
    if (hasMadeCalls)
        runs.haveMadeCalls_ = true;
    else if (runs.withoutCalls_ < minRuns)
        ++runs.withoutCalls_;
}

bool CallingClasses::mayMakeCalls(std::string_view requestClass) const
{
    const auto found = classes_.find(requestClass);
    return found == classes_.end() || found->second.haveMadeCalls_
           || found->second.withoutCalls_ < minRuns;
}

} // namespace retry
