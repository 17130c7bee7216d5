#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <base/Error.h>
#include <dock/BackendMessage.h>
#include <dock/CallInterface.h>
#include <model/Config.h>
#include <net/HttpRequest.h>

namespace logclient {
class KeyedLog;
}
namespace net {
class Reactor;
}

namespace dock {

/** Adapter between a daemon and its platform: names, formats and connections, no policy. */
struct PlatformBinding
{
    CallInterface interface_;

    std::string configTopic_; ///< keyed topic that holds the configuration
    std::string configKey_;
    std::string rendezvousTopic_; ///< keyed topic in which daemons publish their addresses
    std::string allowanceTopic_;  ///< ordinary topic that decides who allots allowances
    std::string readinessPath_;

    /** Opens the platform's log on the reactor. */
    std::function<std::unique_ptr<logclient::KeyedLog>(net::Reactor &)> openLog_;

    /** Decodes a configuration; fails with "bad-config". */
    std::function<base::Result<model::Config>(std::string_view record)> decodeConfig_;

    /** Decodes a message of a backend server; fails with "bad-message" or "no-such-path". */
    std::function<base::Result<BackendMessage>(const net::HttpRequest &)> decodeBackendMessage_;
};

} // namespace dock
