#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <base/Random.h>
#include <routing/Choice.h>
#include <routing/Options.h>
#include <tl/expected.hpp>

namespace routing::details {

class Instance;

/** Distance of an instance from this daemon; nearer tiers are preferred. */
enum class Tier : std::uint8_t { LocalDataCentre, LocalRegion, OtherRegions };

/** The subset of the instances of one service that this daemon sends calls to. */
class Pool
{
public:
    static constexpr std::size_t tierCount = 3;
    static constexpr std::size_t maxSubsetSize = 64;

    using Instances = std::vector<std::shared_ptr<Instance>>;

    /** Selects a subset of the serving instances of the service. */
    Pool(const Options &options, const Instances &serving);

    /** Selects an instance; see Core::choose(). */
    tl::expected<Choice, NoChoice> choose(const Options &options,
                                          const admission::Priority &priority,
                                          std::span<const std::string> excluded,
                                          base::Random &random, base::Millis now) const;

    /** Ejects the instance if it is failing, unless more than half of its tier would be ejected. */
    void ejectIfFailing(Instance &instance, const Options &options, base::Millis now) const;

    admission::Level level(base::Millis now) const;

    using Tiers = std::array<Instances, tierCount>;

    /** The instances of each tier, nearest tier first. */
    const Tiers &tiers() const { return tiers_; }

private:
    Tiers tiers_;
};

} // namespace routing::details
