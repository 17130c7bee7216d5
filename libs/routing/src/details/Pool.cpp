#include <details/Pool.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <details/Instance.h>
#include <details/Subset.h>

namespace routing::details {

namespace {

Tier tierOf(const model::Member &member, const Options &options)
{
    if (member.dataCentre_ == options.dataCentre_)
        return Tier::OwnDataCentre;
    return member.region_ == options.region_ ? Tier::OwnRegion : Tier::Elsewhere;
}

/** How much sooner an instance loses calls than it loses in quality: 45 % failures leave a tenth.
 */
constexpr double outlierExponent = 4;

/** Which instances a pass over the tiers may pick; later passes include those of earlier ones. */
enum class Pass : std::uint8_t {
    Free,
    AlsoFull,
    AlsoInProgress, ///< those that shed the bucket, but not the rank of a request in progress
    AlsoEjected,
};

/** One decision: what is asked for, and what was found on the way. */
class Search
{
public:
    Search(const Options &options, const admission::Priority &priority,
           std::span<const std::string> excluded, double leastFailureShare, base::Random &random,
           base::Millis now)
        : options_(options)
        , priority_(priority)
        , excluded_(excluded)
        , leastFailureShare_(leastFailureShare)
        , random_(random)
        , now_(now)
    {}

    /** The better of two random instances of the tier, or null. */
    const Instance *pick(const Pool::Instances &tier, Pass pass);

    NoChoice failure() const;

private:
    /** An instance that may be picked, with its share of the calls. */
    struct Candidate
    {
        const Instance *instance_ = nullptr;
        double weight_ = 0.0;
    };

    bool isCandidate(const Instance &instance, Pass pass);
    bool isSparedAsOutlier(const Instance &instance);
    std::size_t draw();

    const Options &options_;
    const admission::Priority &priority_;
    std::span<const std::string> excluded_;
    double leastFailureShare_; ///< of the instances of the service
    base::Random &random_;
    base::Millis now_;
    std::array<Candidate, Pool::largestSubset> candidates_;
    std::size_t count_ = 0;
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
        shedUntil_ = std::min(shedUntil_, instance.levelUntil());
        return false;
    }
    if (pass == Pass::Free && (instance.isFull() || isSparedAsOutlier(instance)))
        return false;
    return pass == Pass::AlsoEjected || !instance.isEjected(now_);
}

// Failures that all instances share say nothing about one of them: a service further down fails.
bool Search::isSparedAsOutlier(const Instance &instance)
{
    if (instance.failureShare() - leastFailureShare_ <= options_.outlierMargin_)
        return false;
    const double quality = (1.0 - instance.failureShare()) / (1.0 - leastFailureShare_);
    const double share = std::max(options_.leastOutlierShare_, std::pow(quality, outlierExponent));
    return random_.unit() >= share;
}

// Takes one candidate out at random, by weight, and returns its place behind the others.
std::size_t Search::draw()
{
    double left = random_.unit() * totalWeight_;
    std::size_t drawn = 0;
    while (drawn + 1 < count_ && left >= candidates_[drawn].weight_)
        left -= candidates_[drawn++].weight_;
    totalWeight_ -= candidates_[drawn].weight_;
    --count_;
    std::swap(candidates_[drawn], candidates_[count_]);
    return count_;
}

const Instance *Search::pick(const Pool::Instances &tier, Pass pass)
{
    count_ = 0;
    totalWeight_ = 0.0;
    for (const auto &instance : tier) {
        if (!isCandidate(*instance, pass))
            continue;
        const double weight = instance->weight(options_, now_);
        candidates_[count_++] = {instance.get(), weight};
        totalWeight_ += weight;
    }
    if (count_ == 0)
        return nullptr;
    const Candidate first = candidates_[draw()];
    if (count_ == 0)
        return first.instance_;
    const Candidate second = candidates_[draw()];
    const auto load = [](const Candidate &candidate) {
        return candidate.instance_->inFlight() / candidate.weight_;
    };
    return load(second) < load(first) ? second.instance_ : first.instance_;
}

NoChoice Search::failure() const
{
    if (foundShed_)
        return {NoChoiceReason::AllShed, shedUntil_ - now_};
    const auto reason = foundExcluded_ ? NoChoiceReason::AllExcluded : NoChoiceReason::NoInstance;
    return {reason, options_.levelExpiry_};
}

} // namespace

Pool::Pool(const Options &options, const Instances &serving)
{
    for (const auto &instance : serving)
        tiers_[static_cast<std::size_t>(tierOf(instance->member(), options))].push_back(instance);
    auto &[own, region, elsewhere] = tiers_;
    const auto spillSize = std::min(options.spillSubsetSize_, largestSubset);
    own = subsetOf(std::move(own), std::min(options.subsetSize_, largestSubset));
    region = subsetOf(std::move(region), spillSize);
    elsewhere = subsetOf(std::move(elsewhere), spillSize - region.size());
}

tl::expected<Choice, NoChoice> Pool::choose(const Options &options,
                                            const admission::Priority &priority,
                                            std::span<const std::string> excluded,
                                            base::Random &random, base::Millis now) const
{
    double leastFailureShare = 1.0;
    for (const Instances &tier : tiers_) {
        for (const auto &instance : tier)
            leastFailureShare = std::min(leastFailureShare, instance->failureShare());
    }
    Search search(options, priority, excluded, leastFailureShare, random, now);
    for (const Pass pass : {Pass::Free, Pass::AlsoFull, Pass::AlsoInProgress, Pass::AlsoEjected}) {
        for (const Instances &tier : tiers_) {
            if (const Instance *instance = search.pick(tier, pass))
                return Choice{instance->sharedMember(), &tier != &tiers_.front()};
        }
    }
    return tl::unexpected(search.failure());
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

Pool::Instances Pool::instances() const
{
    Instances result;
    for (const Instances &tier : tiers_)
        result.insert(result.end(), tier.begin(), tier.end());
    return result;
}

} // namespace routing::details
