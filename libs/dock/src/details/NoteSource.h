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

/** The product's own way: release notes and meetings on its log, and the administration API. */
class NoteSource
{
public:
    NoteSource(net::Reactor &reactor, const settings::Settings &settings, std::uint64_t seed,
               SourceHooks hooks);
    ~NoteSource();
    NoteSource(const NoteSource &) = delete;
    NoteSource &operator=(const NoteSource &) = delete;

    /** Opens the administration port; fails with "listen-failed" or "no-token". */
    base::Result<void> start(admin::AdminSources sources);

    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /** No other daemon answers. */
    void wantSeeds();

    /** Answer to another daemon on the control port; nothing for targets of others. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    model::Revision revision() const;

    /** This daemon begins to leave. */
    void drain() {}

private:
    std::unique_ptr<logclient::LogClient> openLog() const;

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    std::unique_ptr<notesync::NoteService> notes_;
    std::unique_ptr<rendezvous::RendezvousService> rendezvous_;
    std::unique_ptr<admin::AdminServer> admin_;
};

} // namespace dock::details
