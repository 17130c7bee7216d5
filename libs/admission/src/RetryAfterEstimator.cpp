#include <admission/RetryAfterEstimator.h>

#include <algorithm>

namespace admission {

namespace {

/** Levels received in answers expire after the same time, so refused priorities are tried again. */
constexpr base::Millis minRetryAfter(1000);

/** Same as the maximum of an instance; no caller waits longer. */
constexpr base::Millis maxRetryAfter(5000);

/** Time without a refusal after which the next refusal starts a new episode. */
constexpr base::Millis episodeGap(1500);

/** Maximum relative deviation of the returned times, in both directions. */
constexpr double jitter = 0.25;

/** Short, as callers want their answer within a few hundred milliseconds. */
constexpr base::Millis retryAfterIndependentOfLoad(200);

/** So that callers refused in one burst do not come back in one. */
constexpr double wideJitter = 0.5;

} // namespace

base::Millis RetryAfterEstimator::recordRefusal(const std::string &scope, base::Millis now)
{
    auto &episode = episodes_.try_emplace(scope, Episode{now, now}).first->second;
    if (now - episode.lastRefusalAt_ > episodeGap)
        episode.startedAt_ = now;
    episode.lastRefusalAt_ = now;
    const auto retryAfter = std::clamp(now - episode.startedAt_, minRetryAfter, maxRetryAfter);
    return jittered(retryAfter, jitter);
}

base::Millis RetryAfterEstimator::independentOfLoad()
{
    return jittered(retryAfterIndependentOfLoad, wideJitter);
}

base::Millis RetryAfterEstimator::jittered(base::Millis mean, double deviation)
{
    const double factor = 1 - deviation + 2 * deviation * random_.unit();
    return base::Millis::fromMicros(
            static_cast<std::int64_t>(static_cast<double>(mean.micros()) * factor));
}

void RetryAfterEstimator::prune(base::Millis now)
{
    std::erase_if(episodes_, [now](const auto &entry) {
        return now - entry.second.lastRefusalAt_ > episodeGap;
    });
}

} // namespace admission
