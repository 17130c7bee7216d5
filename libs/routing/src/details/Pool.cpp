#include <details/Pool.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <details/Instance.h>
#include <details/Ranking.h>
#include <details/Subset.h>
#include <details/TierLoad.h>

namespace routing::details {

namespace {

Tier tierOf(const model::Member &member, const Options &options)
{
    if (member.dataCentre_ == options.dataCentre_)
        return Tier::LocalDataCentre;
    return member.region_ == options.region_ ? Tier::LocalRegion : Tier::OtherRegions;
}

/** Exponent applied to the relative success rate: at 45 % failures an instance keeps about a tenth
 * of its calls. */
constexpr double outlierExponent = 4;

/** Instances that a pass over the tiers may select; each pass includes those of earlier ones. */
enum class Pass : std::uint8_t {
    Preferred,
    AlsoSaturated,
    AlsoInProgress, ///< instances that shed the bucket, but not the rank, of a request in progress
    AlsoEjected,
};

/** One selection: its parameters, candidates and the reasons for rejections. */
class Search
{
public:
    Search(const Options &options, const admission::Priority &priority,
           std::span<const std::string> excluded, double lowestFailureRate, base::Random &random,
           base::Millis now)
        : options_(options)
        , priority_(priority)
        , excluded_(excluded)
        , lowestFailureRate_(lowestFailureRate)
        , random_(random)
        , now_(now)
    {}

    /** The least loaded of a few candidates drawn from the tier at random by weight, or null. */
    const Instance *pick(const Pool::Instances &tier, const Ranking &ranking, Pass pass);

    NoChoice noChoice() const;

private:
    /** An eligible instance with its load-balancing weight. */
    struct Candidate
    {
        const Instance *instance_ = nullptr;
        double weight_ = 0.0;
    };

    bool isCandidate(const Instance &instance, Pass pass);
    bool isSkippedAsOutlier(const Instance &instance);
    std::size_t draw();

    const Options &options_;
    const admission::Priority &priority_;
    std::span<const std::string> excluded_;
    double lowestFailureRate_; ///< among the instances of the service
    base::Random &random_;
    base::Millis now_;
    std::array<Candidate, Pool::maxSubsetSize> candidates_;
    std::size_t candidateCount_ = 0;
    double totalWeight_ = 0.0;
    bool foundShed_ = false;
    bool foundExcluded_ = false;
    base::Millis shedUntil_ = base::Millis::max();
};

bool Search::isCandidate(const Instance &instance, Pass pass)
{
    if (instance.isDraining(now_))
        return false;
    if (std::find(excluded_.begin(), excluded_.end(), instance.member().id_) != excluded_.end()) {
        foundExcluded_ = true;
        return false;
    }
    const admission::Level level = instance.level(now_);
    const bool isAdmitted =
            pass < Pass::AlsoInProgress ? level.covers(priority_) : level.admits(priority_);
    if (!isAdmitted) {
        foundShed_ = true;
        shedUntil_ = std::min(shedUntil_, instance.levelExpiresAt());
        return false;
    }
    if (pass == Pass::Preferred && (instance.isSaturated() || isSkippedAsOutlier(instance)))
        return false;
    return pass == Pass::AlsoEjected || !instance.isEjected(now_);
}

// Compares with the lowest failure rate: failures common to all instances come from a service
// further downstream.
bool Search::isSkippedAsOutlier(const Instance &instance)
{
    if (instance.failureRate() - lowestFailureRate_ <= options_.outlierMargin_)
        return false;
    const double quality = (1.0 - instance.failureRate()) / (1.0 - lowestFailureRate_);
    const double share = std::max(options_.minOutlierShare_, std::pow(quality, outlierExponent));
    return random_.unit() >= share;
}

// Removes one candidate at random by weight and returns its index, just past the remaining ones.
std::size_t Search::draw()
{
    double remaining = random_.unit() * totalWeight_;
    std::size_t drawn = 0;
    while (drawn + 1 < candidateCount_ && remaining >= candidates_[drawn].weight_)
        remaining -= candidates_[drawn++].weight_;
    totalWeight_ -= candidates_[drawn].weight_;
    --candidateCount_;
    std::swap(candidates_[drawn], candidates_[candidateCount_]);
    return candidateCount_;
}

const Instance *Search::pick(const Pool::Instances &tier, const Ranking &ranking, Pass pass)
{
    candidateCount_ = 0;
    totalWeight_ = 0.0;
    for (const auto &instance : tier) {
        if (!isCandidate(*instance, pass))
            continue;
        const double weight = ranking.weight(*instance, options_, now_);
        candidates_[candidateCount_++] = {instance.get(), weight};
        totalWeight_ += weight;
    }
    const Instance *best = nullptr;
    double lowestLoad = 0.0;
    for (int i = 0; i < ranking.draws() && candidateCount_ > 0; ++i) {
        const Candidate candidate = candidates_[draw()];
        const double load = ranking.load(*candidate.instance_, candidate.weight_);
        if (best == nullptr || load < lowestLoad) {
            best = candidate.instance_;
            lowestLoad = load;
        }
    }
    return best;
}

NoChoice Search::noChoice() const
{
    if (foundShed_)
        return {NoChoiceReason::AllShed, shedUntil_ - now_};
    const auto reason = foundExcluded_ ? NoChoiceReason::AllExcluded : NoChoiceReason::NoInstance;
    return {reason, options_.levelExpiry_};
}

using Rankings = std::array<Ranking, Pool::tierCount>;

/**
 * Whether a call goes to an instance of a farther tier. While that tier is full as well, the waits
 * of two instances differ by chance, and calls would only change places: as with hand-backs, a
 * difference of a quarter counts.
 */
bool isSpilled(base::Millis nearWait, base::Millis farWait, const Ranking &far,
               const Options &options)
{
    const bool isFarFull = far.evenWait() > options.spillWait_;
    const auto margin = isFarFull ? nearWait / 4 : base::Millis();
    return farWait + options.spillWait_ + margin < nearWait;
}

/** Wait from which the call is better served elsewhere, in its own tier or in another one. */
std::optional<base::Millis> maxWait(const Rankings &rankings, std::size_t chosen,
                                    const Options &options)
{
    auto shortest = rankings[chosen].maxWait(options);
    for (std::size_t tier = 0; shortest && tier < rankings.size(); ++tier) {
        if (const auto wait = rankings[tier].maxWait(options); tier != chosen && wait)
            shortest = std::min(*shortest, *wait + options.spillWait_);
    }
    return shortest;
}

/** Whether a usable instance other than the chosen one is expected to have a free slot. */
bool isOtherFree(const Instance &chosen, const Pool::Tiers &tiers, const Rankings &rankings,
                 base::Millis now)
{
    for (std::size_t tier = 0; tier < tiers.size(); ++tier) {
        const auto isFree = [&](const auto &other) {
            return other.get() != &chosen && !other->isDraining(now) && !other->isEjected(now)
                   && rankings[tier].hasFreeSlot(*other);
        };
        if (std::any_of(tiers[tier].begin(), tiers[tier].end(), isFree))
            return true;
    }
    return false;
}

} // namespace

Pool::Pool(const Options &options, const Instances &serving)
{
    for (const auto &instance : serving)
        tiers_[static_cast<std::size_t>(tierOf(instance->member(), options))].push_back(instance);
    auto &[local, region, elsewhere] = tiers_;
    const auto spillSize = std::min(options.spillSubsetSize_, maxSubsetSize);
    local = selectSubset(std::move(local), std::min(options.subsetSize_, maxSubsetSize));
    region = selectSubset(std::move(region), spillSize);
    elsewhere = selectSubset(std::move(elsewhere), spillSize - region.size());
}

tl::expected<Choice, NoChoice> Pool::choose(const Options &options,
                                            const admission::Priority &priority,
                                            std::span<const std::string> excluded,
                                            base::Random &random, base::Millis now) const
{
    double lowestFailureRate = 1.0;
    for (const Instances &tier : tiers_) {
        for (const auto &instance : tier)
            lowestFailureRate = std::min(lowestFailureRate, instance->failureRate());
    }
    Search search(options, priority, excluded, lowestFailureRate, random, now);
    const Rankings rankings = {Ranking(options, tiers_[0], now), Ranking(options, tiers_[1], now),
                               Ranking(options, tiers_[2], now)};
    const auto choiceOf = [&](const Instance &instance, std::size_t tier) {
        return Choice{.member_ = instance.sharedMember(),
                      .isSpilled_ = tier > 0,
                      .isOtherFree_ = isOtherFree(instance, tiers_, rankings, now),
                      .maxWait_ = maxWait(rankings, tier, options)};
    };
    for (const Pass pass :
         {Pass::Preferred, Pass::AlsoSaturated, Pass::AlsoInProgress, Pass::AlsoEjected}) {
        for (std::size_t tier = 0; tier < tierCount; ++tier) {
            const Instance *instance = search.pick(tiers_[tier], rankings[tier], pass);
            if (instance == nullptr)
                continue;
            const auto wait = rankings[tier].wait(*instance);
            for (std::size_t other = tier + 1; other < tierCount && wait > options.spillWait_;
                 ++other) {
                const Instance *remote = search.pick(tiers_[other], rankings[other], pass);
                if (remote != nullptr
                    && isSpilled(wait, rankings[other].wait(*remote), rankings[other], options))
                    return choiceOf(*remote, other);
            }
            return choiceOf(*instance, tier);
        }
    }
    return tl::unexpected(search.noChoice());
}

void Pool::ejectIfFailing(Instance &instance, const Options &options, base::Millis now) const
{
    if (!instance.isFailing(options) || instance.isEjected(now))
        return;
    const auto isSame = [&](const auto &other) {
        return other.get() == &instance;
    };
    for (const Instances &tier : tiers_) {
        if (std::none_of(tier.begin(), tier.end(), isSame))
            continue;
        const auto isEjected = [now](const auto &other) {
            return other->isEjected(now);
        };
        const auto ejected = std::count_if(tier.begin(), tier.end(), isEjected);
        if (2 * (static_cast<std::size_t>(ejected) + 1) <= tier.size())
            instance.eject(options, now);
    }
}

admission::Level Pool::level(base::Millis now) const
{
    std::optional<admission::Level> best;
    for (const Instances &tier : tiers_) {
        for (const auto &instance : tier) {
            if (!instance->isDraining(now))
                best = std::max(best.value_or(admission::Level::none()), instance->level(now));
        }
    }
    return best.value_or(admission::Level::all());
}

} // namespace routing::details
