#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <admin/AdminSources.h>
#include <base/Error.h>
#include <dock/BackendMessage.h>
#include <dock/PlatformBinding.h>
#include <heartbeat/Tracker.h>
#include <model/Member.h>
#include <model/Revision.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

#include "RevisionNews.h"
#include "SourceHooks.h"

namespace follow {
class FollowService;
}
namespace logclient {
class KeyedLog;
struct KeyedRecord;
} // namespace logclient
namespace rendezvous {
class KeyedMeeting;
}
namespace settings {
struct Settings;
}

namespace dock::details {

/**
 * The platform's way: its configuration and meetings from keyed topics, heartbeats of the backend
 * server, readiness probes and metrics.
 */
class PlatformSource
{
public:
    PlatformSource(net::Reactor &reactor, const settings::Settings &settings,
                   const PlatformBinding &binding, std::uint64_t seed, SourceHooks hooks);
    ~PlatformSource();
    PlatformSource(const PlatformSource &) = delete;
    PlatformSource &operator=(const PlatformSource &) = delete;

    /** Opens the ports; fails with "listen-failed". */
    base::Result<void> start(admin::AdminSources sources);

    /** A member with a higher revision is asked for its configuration. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /** No other daemon answers. */
    void wantSeeds();

    /** Answers another daemon that asks for the configuration in force here. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    model::Revision revision() const { return revision_; }

    /** This daemon begins to leave: it is not ready any more. */
    void drain();

private:
    using ServerSlot = std::unique_ptr<net::HttpServer>;

    base::Result<void> listen(ServerSlot &slot, const model::Address &address,
                              std::function<net::HttpResponse(const net::HttpRequest &)> answer);
    void onRecords(const std::vector<logclient::KeyedRecord> &records);
    void offerConfig(const std::string &record, const std::string &from, LearntFrom learntFrom);
    void catchUp();
    void askMember(const model::Address &address, LearntFrom from);
    bool isBehind() const;
    const model::Member &chooseNewest();
    void tellOthers(LearntFrom from);
    void tell(const model::Member &member, bool isToBeTold);
    net::HttpResponse hear(const std::string &text);
    net::HttpResponse answerBackend(const net::HttpRequest &request);
    void take(const heartbeat::Heartbeat &message);
    void take(const heartbeat::Deregistration &message);
    void noteIgnored(const std::string &instanceId, heartbeat::Verdict verdict);
    net::HttpResponse answerProbe(const net::HttpRequest &request) const;
    bool isReady() const;

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    const PlatformBinding &binding_;
    SourceHooks hooks_;
    std::unique_ptr<logclient::KeyedLog> log_;
    std::unique_ptr<follow::FollowService> config_;
    std::unique_ptr<rendezvous::KeyedMeeting> meeting_;
    net::HttpClient client_;
    heartbeat::Tracker tracker_;
    ServerSlot heartbeatServer_;
    ServerSlot readinessServer_;
    ServerSlot metricsServer_;
    std::shared_ptr<const std::vector<model::Member>> members_;
    std::string record_; ///< of the configuration in force, as another daemon may ask for it
    model::Revision revision_ = 0;
    base::Millis configuredAt_; ///< when the first configuration came into force
    net::TimerId catchUpTimer_ = 0;
    int catchUps_ = 0;             ///< since this daemon knows that others are ahead
    model::Revision askedFor_ = 0; ///< of the question that waits for its answer, or 0
    base::Random random_;
    bool isDraining_ = false;
};

} // namespace dock::details
