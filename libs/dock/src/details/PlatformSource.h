#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <admin/AdminSources.h>
#include <base/Error.h>
#include <dock/BackendMessage.h>
#include <dock/PlatformBinding.h>
#include <follow/PeerAccess.h>
#include <follow/Peers.h>
#include <heartbeat/Tracker.h>
#include <model/Member.h>
#include <model/Revision.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

#include "AllotterAuthority.h"
#include "RevisionAnnouncement.h"
#include "SourceHooks.h"

namespace follow {
class FollowService;
}
namespace logclient {
class KeyedLog;
struct KeyedRecord;
} // namespace logclient
namespace rendezvous {
class KeyedRendezvous;
}
namespace settings {
struct Settings;
}

namespace dock::details {

/**
 * Configuration source on the platform: configuration and addresses of other daemons from keyed
 * topics. Also serves heartbeats of the backend server, readiness probes and metrics.
 */
class PlatformSource
{
public:
    /** The generation is that of this process. */
    PlatformSource(net::Reactor &reactor, const settings::Settings &settings,
                   const PlatformBinding &binding, std::uint64_t generation, SourceHooks hooks);
    ~PlatformSource();
    PlatformSource(const PlatformSource &) = delete;
    PlatformSource &operator=(const PlatformSource &) = delete;

    /** Opens the ports; fails with "listen-failed". */
    base::Result<void> start(admin::AdminSources sources);

    /** Replaces the members; requests the configuration of one with a higher revision, if any. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /** Applies what the backend server announced to an earlier process of this daemon. */
    void restoreRetired(const model::RetiredBackend &retired);

    /** Looks for seeds, as no other daemon answers. */
    void findSeeds();

    /** Answers requests for the configuration and announcements; nothing for other targets. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    model::Revision revision() const { return revision_; }

    /** Starts draining: readiness probes fail from now on. */
    void drain();

    void claimAuthority(const ClaimAuthority &claim) { authority_->claim(claim); }
    void hearPartitionEnd(const PartitionEndHeard &heard) { authority_->onEndHeard(heard); }
    void releaseAuthority() { authority_->release(); }

private:
    using ServerSlot = std::unique_ptr<net::HttpServer>;

    base::Result<void> listen(ServerSlot &slot, const model::Address &address,
                              std::function<net::HttpResponse(const net::HttpRequest &)> answer);
    bool applyRecords(const std::vector<logclient::KeyedRecord> &records);
    void sendEvidence();
    bool applyIfNewer(const std::string &record, const std::string &from, RevisionOrigin origin);
    void catchUp();
    void requestConfig(const model::Address &address, RevisionOrigin from,
                       std::function<void()> onFailure);
    void fetchConfig(const model::Address &address, model::Revision revision, RevisionOrigin from);
    void inquire(const model::Address &address, follow::PeerAccess::AnswerHandler done);
    void identify(const model::Address &address, HolderWatch::IdentityHandler done);
    net::HttpResponse confirm() const;
    follow::Peers peers() const;
    bool isBehind() const;
    const model::Member &chooseNewest();
    void announceRevision(RevisionOrigin from);
    void sendAnnouncement(const model::Member &member, bool mustForward);
    net::HttpResponse receiveAnnouncement(const std::string &body);
    net::HttpResponse answerBackend(const net::HttpRequest &request);
    void handle(const heartbeat::Heartbeat &message);
    void handle(const heartbeat::Deregistration &message);
    void logIgnored(const std::string &instanceId, heartbeat::Verdict verdict);
    net::HttpResponse answerProbe(const net::HttpRequest &request) const;
    bool isReady() const;

    net::Reactor &reactor_;
    const settings::Settings &settings_;
    const PlatformBinding &binding_;
    SourceHooks hooks_;
    std::unique_ptr<logclient::KeyedLog> log_;
    std::unique_ptr<follow::FollowService> config_;
    std::unique_ptr<rendezvous::KeyedRendezvous> rendezvous_;
    std::unique_ptr<AllotterAuthority> authority_;
    net::HttpClient client_;
    heartbeat::Tracker tracker_;
    ServerSlot heartbeatServer_;
    ServerSlot readinessServer_;
    ServerSlot metricsServer_;
    std::shared_ptr<const std::vector<model::Member>> members_;
    std::string configRecord_; ///< encoded configuration in force, for requests of other daemons
    model::Revision revision_ = 0;
    std::optional<base::Millis> confirmedAt_; ///< no newer revision had been written by then
    bool requiresKeys_ = false;               ///< by the configuration in force
    bool isNewestValid_ = true;               ///< the newest record read from the log was valid
    base::Millis firstConfigTime_; ///< time at which the first configuration came into force
    net::TimerId catchUpTimer_ = 0;
    int catchUpAttempts_ = 0;               ///< since a member has had a higher revision
    model::Revision requestedRevision_ = 0; ///< newest one requested after an announcement; 0: none
    base::Random random_;
    const once::Incarnation self_; ///< as this process was started; never renamed
    bool isDraining_ = false;
};

} // namespace dock::details
