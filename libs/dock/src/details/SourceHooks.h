#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <dock/Messages.h>
#include <model/Address.h>
#include <model/Config.h>

namespace dock::details {

/** What a configuration source tells its owner, on the reactor's thread. */
struct SourceHooks
{
    std::function<void(std::shared_ptr<const model::Config>)> onConfig_;
    std::function<void(std::vector<model::Address>)> onSeeds_; ///< control addresses of others
    std::function<void(ToData)> toData_;
};

} // namespace dock::details
