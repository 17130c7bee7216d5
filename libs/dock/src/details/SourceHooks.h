#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <dock/Messages.h>
#include <model/Address.h>
#include <model/Config.h>
#include <model/RetiredBackend.h>

namespace dock::details {

/** Functions that a configuration source calls on the reactor's thread. */
struct SourceHooks
{
    std::function<void(std::shared_ptr<const model::Config>)> onConfig_;
    std::function<void(std::vector<model::Address>)>
            onSeeds_; ///< control addresses of other daemons
    std::function<void(DataTaskMessage)> sendToDataTask_;
    std::function<void(const model::RetiredBackend &)> onBackendRetired_;
};

} // namespace dock::details
