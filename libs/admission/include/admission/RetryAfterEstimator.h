#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <base/Random.h>

namespace admission {

/**
 * Computes the retry-after time of calls that are refused for overload.
 *
 * During sustained overload, a call that is retried too early is refused again or displaces
 * another. The remaining duration of an overload is estimated as the time that it has lasted so
 * far, so that a short overload costs a short wait. Times are jittered, since simultaneous retries
 * would cause the next overload. A caller that cannot wait that long learns so at once.
 */
class RetryAfterEstimator
{
public:
    explicit RetryAfterEstimator(std::uint64_t seed)
        : random_(seed)
    {}

    /** Records a refusal in the scope and returns the time to wait before a retry. */
    base::Millis recordRefusal(const std::string &scope, base::Millis now);

    /** Time to wait after a refusal that does not depend on load, so that a retry may succeed now.
     */
    base::Millis independentOfLoad();

    /** Removes scopes without a recent refusal. */
    void prune(base::Millis now);

    std::size_t scopeCount() const { return episodes_.size(); }

private:
    base::Millis jittered(base::Millis mean, double deviation);

    /** Refusals of one scope, each within episodeGap of the one before. */
    struct Episode
    {
        base::Millis startedAt_;
        base::Millis lastRefusalAt_;
    };

    std::unordered_map<std::string, Episode> episodes_;
    base::Random random_;
};

} // namespace admission
