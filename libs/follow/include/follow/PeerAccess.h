#pragma once

#include <functional>
#include <optional>

#include <follow/Command.h>
#include <follow/Confirmation.h>

namespace follow {

/** How a FollowService reaches other daemons. */
struct PeerAccess
{
    using AnswerHandler = std::function<void(std::optional<Confirmation>)>;

    /** Asks a daemon for its Confirmation; calls the handler once, with nothing on failure. */
    std::function<void(const model::Address &, AnswerHandler)> inquire_;

    /** Fetches the configuration of a daemon that has a newer one. */
    std::function<void(const FetchConfig &)> fetchConfig_;
};

} // namespace follow
