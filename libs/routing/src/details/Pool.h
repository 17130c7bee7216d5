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

/** How far an instance is from this daemon; nearer tiers are used first. */
enum class Tier : std::uint8_t { OwnDataCentre, OwnRegion, Elsewhere };

/** The instances of one service that this daemon sends to. */
class Pool
{
public:
    static constexpr std::size_t tierCount = 3;
    static constexpr std::size_t largestSubset = 64;

    using Instances = std::vector<std::shared_ptr<Instance>>;

    /** Takes the serving instances of the service and keeps a subset of them. */
    Pool(const Options &options, const Instances &serving);

    /** Picks an instance; see Core::choose(). */
    tl::expected<Choice, NoChoice> choose(const Options &options,
                                          const admission::Priority &priority,
                                          std::span<const std::string> excluded,
                                          base::Random &random, base::Millis now) const;

    /** Ejects the instance if it fails, unless half of its tier is ejected already. */
    void ejectIfFailing(Instance &instance, const Options &options, base::Millis now) const;

    admission::Level level(base::Millis now) const;

    /** All instances of all tiers, nearest first. */
    Instances instances() const;

private:
    std::array<Instances, tierCount> tiers_;
};

} // namespace routing::details
