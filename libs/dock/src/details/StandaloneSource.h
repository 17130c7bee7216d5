#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <admin/AdminSources.h>
#include <base/Error.h>
#include <model/Member.h>
#include <model/Revision.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

#include "SourceHooks.h"

namespace admin {
class AdminServer;
}
namespace logclient {
class LogClient;
}
namespace net {
class Reactor;
}
namespace notesync {
class NoteService;
}
namespace rendezvous {
class RendezvousService;
}
namespace settings {
struct Settings;
}

namespace dock::details {

/**
 * Configuration source without the platform: release notes and addresses of other daemons from the
 * log in the settings, and the administration API.
 */
class StandaloneSource
{
public:
    StandaloneSource(net::Reactor &reactor, const settings::Settings &settings,
                     std::uint64_t randomSeed, SourceHooks hooks);
    ~StandaloneSource();
    StandaloneSource(const StandaloneSource &) = delete;
    StandaloneSource &operator=(const StandaloneSource &) = delete;

    /** Opens the administration port; fails with "listen-failed" or "no-token". */
    base::Result<void> start(admin::AdminSources sources);

    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /** Looks for seeds, as no other daemon answers. */
    void findSeeds();

    /** Answers another daemon on the control port; nothing for targets of other services. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    model::Revision revision() const;

    /** Does nothing, as this source has no readiness probe. */
    void drain() {}

private:
    std::unique_ptr<logclient::LogClient> openLog() const;

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    std::unique_ptr<notesync::NoteService> releaseNotes_;
    std::unique_ptr<rendezvous::RendezvousService> rendezvous_;
    std::unique_ptr<admin::AdminServer> admin_;
};

} // namespace dock::details
