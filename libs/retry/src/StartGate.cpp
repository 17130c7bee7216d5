#include <retry/StartGate.h>

#include <cmath>

namespace retry {

namespace {

/**
 * A caller may not repeat such a request after a failure, but it may come back after a refusal, so
 * a small chance is worse than none.
 */
constexpr double minChance = 0.15;

/** Below this, nearly all work would be wasted. */
constexpr double minChanceOfIdempotent = 0.02;

/** One in this many is started although its chance is low. */
constexpr std::uint32_t probeInterval = 16;

/** Successes assumed without any measurement. */
constexpr double priorServed = 1;

constexpr base::Millis halfLife(3000);

/** Outcomes older than this have lost their weight. */
constexpr base::Millis expiry(15'000);

constexpr std::size_t maxScopes = 4096;

} // namespace

void StartGate::decay(Outcomes &outcomes, base::Millis now)
{
    const auto age = static_cast<double>((now - outcomes.updatedAt_).micros());
    const double factor = std::exp2(-age / static_cast<double>(halfLife.micros()));
    outcomes.served_ *= factor;
    outcomes.ended_ *= factor;
    outcomes.updatedAt_ = now;
}

bool StartGate::admits(std::string_view scope, bool isIdempotent, base::Millis now)
{
    const auto found = outcomes_.find(scope);
    if (found == outcomes_.end())
        return true;
    auto &outcomes = found->second;
    decay(outcomes, now);
    const double chance = (outcomes.served_ + priorServed) / (outcomes.ended_ + priorServed);
    const double required = isIdempotent ? minChanceOfIdempotent : minChance;
    if (chance >= required || ++outcomes.refusedSinceProbe_ >= probeInterval) {
        outcomes.refusedSinceProbe_ = 0;
        return true;
    }
    return false;
}

void StartGate::recordEnd(std::string_view scope, bool isServed, base::Millis now)
{
    auto found = outcomes_.find(scope);
    if (found == outcomes_.end()) {
        if (outcomes_.size() >= maxScopes)
            return;
        found = outcomes_.emplace(scope, Outcomes{.updatedAt_ = now}).first;
    }
    decay(found->second, now);
    found->second.served_ += isServed ? 1 : 0;
    found->second.ended_ += 1;
}

void StartGate::prune(base::Millis now)
{
    std::erase_if(outcomes_,
                  [now](const auto &entry) { return now - entry.second.updatedAt_ > expiry; });
}

} // namespace retry
