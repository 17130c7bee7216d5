#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <model/Member.h>

namespace gossip {

/** What a GossipService tells its owner, on the reactor's thread. */
struct Callbacks
{
    /**
     * Members or the highest revision changed: all live members with the own one, sorted by id.
     * Changes in quick succession are told together.
     */
    std::function<void(std::shared_ptr<const std::vector<model::Member>>)> onMembers_;

    /** Nobody answers: further seeds are wanted, by addSeeds(). Called every few seconds then. */
    std::function<void()> onSeedsWanted_;
};

} // namespace gossip
