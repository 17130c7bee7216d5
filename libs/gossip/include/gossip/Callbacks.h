#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <model/Member.h>

namespace gossip {

/** Notifications of a GossipService to its owner, on the reactor's thread. */
struct Callbacks
{
    /**
     * Members or the highest revision changed. Passes all live members including this daemon,
     * sorted by id. Changes in quick succession are combined into one notification.
     */
    std::function<void(std::shared_ptr<const std::vector<model::Member>>)> onMembers_;

    /** No daemon answers: addSeeds() should be called. Repeated every few seconds meanwhile. */
    std::function<void()> onSeedsWanted_;
};

} // namespace gossip
