#include <admission/ReturnTimes.h>

#include <algorithm>

namespace admission {

namespace {

/** Time after which refused priorities are tried again: levels from answers last as long. */
constexpr base::Millis shortestReturn(1000);

/** As the longest of an instance; no caller of these systems waits longer. */
constexpr base::Millis longestReturn(5000);

/** Time without a refusal after which the next one begins another overload. */
constexpr base::Millis episodeGap(1500);

/** Times are spread by this part of them, up and down. */
constexpr double spread = 0.25;

} // namespace

base::Millis ReturnTimes::refused(const std::string &scope, base::Millis now)
{
    auto &episode = episodes_.try_emplace(scope, Episode{now, now}).first->second;
    if (now - episode.last_ > episodeGap)
        episode.began_ = now;
    episode.last_ = now;
    const auto time = std::clamp(now - episode.began_, shortestReturn, longestReturn);
    const double factor = 1 - spread + 2 * spread * random_.unit();
    return base::Millis::fromMicros(
            static_cast<std::int64_t>(static_cast<double>(time.micros()) * factor));
}

void ReturnTimes::prune(base::Millis now)
{
    std::erase_if(episodes_,
                  [now](const auto &entry) { return now - entry.second.last_ > episodeGap; });
}

} // namespace admission
