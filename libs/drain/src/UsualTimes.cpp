#include <drain/UsualTimes.h>

#include <algorithm>
#include <functional>

namespace drain {

namespace {

constexpr std::size_t maxTimesPerClass = 100;

/** One in so many of the recent requests may have taken longer than the usual time. */
constexpr std::size_t longerRatio = 50;

/** Classes come from the configuration; beyond this number, further ones are not recorded. */
constexpr std::size_t maxClasses = 1000;

} // namespace

void UsualTimes::record(const std::string &requestClass, base::Millis time)
{
    if (recent_.size() >= maxClasses && !recent_.contains(requestClass))
        return;
    auto &recent = recent_[requestClass];
    if (recent.times_.size() < maxTimesPerClass) {
        recent.times_.push_back(time);
        return;
    }
    recent.times_[recent.next_] = time;
    recent.next_ = (recent.next_ + 1) % maxTimesPerClass;
}

std::optional<base::Millis> UsualTimes::of(const std::string &requestClass) const
{
    const auto found = recent_.find(requestClass);
    if (found == recent_.end())
        return std::nullopt;
    auto times = found->second.times_;
    const auto longer = times.begin() + static_cast<std::ptrdiff_t>(times.size() / longerRatio);
    std::nth_element(times.begin(), longer, times.end(), std::greater<>());
    return *longer;
}

} // namespace drain
