#include "PlatformSource.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <base/Clock.h>
#include <base/Hash.h>
#include <base/Overloaded.h>
#include <dock/CallerAnswer.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <follow/FollowService.h>
#include <logclient/KeyedLog.h>
#include <model/Election.h>
#include <rendezvous/KeyedRendezvous.h>
#include <settings/Settings.h>

namespace dock::details {

namespace {

/** Path on the control port from which daemons fetch the configuration in force. */
const std::string configPath = "/config";

/** Path on the control port to which daemons send announcements of new revisions. */
const std::string announcementPath = "/config-news";

/** Path on the control port at which daemons ask whether their revision is the newest. */
const std::string confirmationPath = "/config-confirmation";

/** Path on the control port at which daemons ask which process runs there. */
const std::string processPath = "/process";

/** Orders the daemons of a data centre by who reads the log. */
constexpr const char *readerDuty = "config-reader";

/** A daemon in the same data centre answers at once, unless it is paused or gone. */
constexpr base::Millis inquiryTimeout(250);

/**
 * Delay before a revision that other members have is requested from them, as this daemon's own read
 * of the log is expected to return it first: the time of a few responses of the log.
 */
constexpr base::Millis catchUpDelay(300);

/**
 * A daemon that has a configuration but no other member is ready after this time, as it may be the
 * only one: long enough for two attempts to join.
 */
constexpr base::Millis aloneReadyDelay(2500);

constexpr base::Millis peerRequestTimeout(1000);
constexpr std::uint32_t maxConnections = 256;
constexpr std::size_t maxMessageBytes = 64 * 1024;
constexpr int statusOk = 200;

/** All other daemons, in an order of its own for each daemon, so that none is asked by many. */
std::vector<model::Address> fallbackPeers(const std::vector<model::Member> &members,
                                          const std::string &selfId, const std::string &dataCentre)
{
    std::map<std::uint64_t, const model::Member *> others;
    for (const auto &member : members) {
        if (member.id_ != selfId)
            others.emplace(base::hash64(selfId, base::hash64(member.id_)), &member);
    }
    std::vector<model::Address> near;
    std::vector<model::Address> far;
    for (const auto &[hash, member] : others)
        (member->dataCentre_ == dataCentre ? near : far).push_back(member->controlAddress_);
    return follow::alternating(near, far);
}

} // namespace

PlatformSource::PlatformSource(net::Reactor &reactor, const settings::Settings &settings,
                               const PlatformBinding &binding, std::uint64_t generation,
                               SourceHooks hooks)
    : reactor_(reactor)
    , settings_(settings)
    , binding_(binding)
    , hooks_(std::move(hooks))
    , log_(binding.openLog_(reactor))
    , client_(reactor)
    , tracker_(settings.platform_->service_, settings.platform_->backendAddress_)
    , random_(generation)
    , self_{settings.id_, generation}
{
    follow::Options options;
    options.seed_ = generation;
    config_ = std::make_unique<follow::FollowService>(
            reactor, *log_, binding.configTopic_, options,
            follow::PeerAccess{.inquire_ = [this](const auto &address,
                                                  auto done) { inquire(address, std::move(done)); },
                               .fetchConfig_ =
                                       [this](const follow::FetchConfig &fetch) {
                                           fetchConfig(fetch.from_, fetch.revision_,
                                                       RevisionOrigin::OwnDataCentre);
                                       }},
            [this](const std::vector<logclient::KeyedRecord> &records) {
                return applyRecords(records);
            },
            [this](base::Millis confirmedAt) {
                confirmedAt_ = confirmedAt;
                sendEvidence();
            });
    rendezvous_ = std::make_unique<rendezvous::KeyedRendezvous>(
            reactor, *log_,
            rendezvous::KeyedOptions{
                    .topic_ = binding.rendezvousTopic_,
                    .self_ = {settings.id_, settings.dataCentre_, settings.controlAddress_},
                    .seed_ = generation},
            [this](std::vector<model::Address> seeds) { hooks_.onSeeds_(std::move(seeds)); },
            [this](const model::RetiredBackend &retired) { restoreRetired(retired); });
    authority_ = std::make_unique<AllotterAuthority>(
            reactor, *log_, binding.allowanceTopic_,
            AllotterRecord{self_, settings.controlAddress_},
            [this](const auto &address, auto done) { identify(address, std::move(done)); }, hooks_);
}

PlatformSource::~PlatformSource()
{
    reactor_.cancel(catchUpTimer_);
}

base::Result<void>
PlatformSource::listen(ServerSlot &slot, const model::Address &address,
                       std::function<net::HttpResponse(const net::HttpRequest &)> answer)
{
    auto server =
            net::HttpServer::start(reactor_,
                                   {.listen_ = address,
                                    .maxBodyBytes_ = maxMessageBytes,
                                    .maxConnections_ = maxConnections},
                                   [&slot, answer = std::move(answer)](
                                           net::ExchangeId id, const net::HttpRequest &request) {
                                       slot->respond(id, answer(request));
                                   });
    if (!server)
        return tl::unexpected(server.error());
    slot = std::move(*server);
    return {};
}

base::Result<void> PlatformSource::start(admin::AdminSources sources)
{
    const auto &addresses = *settings_.platform_;
    auto started =
            listen(heartbeatServer_, addresses.heartbeatAddress_,
                   [this](const net::HttpRequest &request) { return answerBackend(request); });
    if (started)
        started = listen(readinessServer_, addresses.readinessAddress_,
                         [this](const net::HttpRequest &request) { return answerProbe(request); });
    if (started && settings_.metricsAddress_)
        started = listen(metricsServer_, *settings_.metricsAddress_,
                         [metrics = std::move(sources.metrics_)](const net::HttpRequest &) {
                             return net::HttpResponse{
                                     .headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
                                     .body_ = metrics()};
                         });
    return started;
}

/** Returns whether the newest of the configurations read so far is in force. */
bool PlatformSource::applyRecords(const std::vector<logclient::KeyedRecord> &records)
{
    for (const auto &record : records) {
        if (record.key_ == binding_.configKey_ && !record.value_.empty())
            isNewestValid_ = applyIfNewer(record.value_, "log", RevisionOrigin::Log);
    }
    return isNewestValid_;
}

/** Tells the data task how recently the configuration was confirmed, if it has to know. */
void PlatformSource::sendEvidence()
{
    if (requiresKeys_ && confirmedAt_)
        hooks_.sendToDataTask_(ConfigConfirmed{*confirmedAt_});
}

/**
 * Applies a configuration unless it is not newer than the one in force. Returns whether the record
 * is valid.
 */
bool PlatformSource::applyIfNewer(const std::string &record, const std::string &from,
                                  RevisionOrigin origin)
{
    auto config = binding_.decodeConfig_(record);
    if (!config) {
        events::log(events::configRefused, "from=" + from + " inForce=" + std::to_string(revision_)
                                                   + " cause=\"" + config.error().message_ + "\"");
        return false;
    }
    if (config->revision_ <= revision_)
        return true;
    events::log(events::configReceived,
                "revision=" + std::to_string(config->revision_) + " from=" + from);
    if (revision_ == 0)
        firstConfigTime_ = base::monotonicNow();
    revision_ = config->revision_;
    configRecord_ = record;
    config_->setRevision(revision_);
    const bool requiredKeys = std::exchange(requiresKeys_, config->requiresKeys_);
    hooks_.onConfig_(std::make_shared<const model::Config>(std::move(*config)));
    if (requiresKeys_ != requiredKeys) {
        sendEvidence();
        if (members_ != nullptr)
            config_->setPeers(peers());
    }
    announceRevision(origin);
    return true;
}

void PlatformSource::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    members_ = std::move(members);
    config_->setPeers(peers());
    if (catchUpTimer_ == 0 && isBehind())
        catchUpTimer_ = reactor_.schedule(catchUpDelay, [this] { catchUp(); });
}

follow::Peers PlatformSource::peers() const
{
    follow::Peers peers;
    for (const auto *member :
         model::higherRanked(readerDuty, *members_, settings_.id_, settings_.dataCentre_))
        peers.higherRanked_.push_back(member->controlAddress_);
    peers.members_ = static_cast<std::size_t>(
            std::count_if(members_->begin(), members_->end(), [this](const model::Member &member) {
                return member.dataCentre_ == settings_.dataCentre_;
            }));
    if (requiresKeys_ && settings_.customers_.revocationTime_ > base::Millis())
        peers.fallback_ = fallbackPeers(*members_, settings_.id_, settings_.dataCentre_);
    return peers;
}

bool PlatformSource::isBehind() const
{
    return std::any_of(members_->begin(), members_->end(), [this](const model::Member &member) {
        return member.revision_ > revision_;
    });
}

/** Random member with the newest configuration, of this data centre if there is one. */
const model::Member &PlatformSource::chooseNewest()
{
    model::Revision newest = 0;
    for (const auto &member : *members_)
        newest = std::max(newest, member.revision_);
    std::vector<const model::Member *> near;
    std::vector<const model::Member *> far;
    for (const auto &member : *members_) {
        if (member.revision_ == newest)
            (member.dataCentre_ == settings_.dataCentre_ ? near : far).push_back(&member);
    }
    const auto &from = near.empty() ? far : near;
    return *from[random_.below(from.size())];
}

/** Requests the configuration from another daemon; from the second attempt on also from the log. */
void PlatformSource::catchUp()
{
    catchUpTimer_ = 0;
    if (!isBehind()) {
        catchUpAttempts_ = 0;
        return;
    }
    if (++catchUpAttempts_ > 1)
        config_->catchUp();
    requestConfig(chooseNewest().controlAddress_, RevisionOrigin::OwnDataCentre, {});
    catchUpTimer_ = reactor_.schedule(peerRequestTimeout, [this] { catchUp(); });
}

void PlatformSource::requestConfig(const model::Address &address, RevisionOrigin from,
                                   std::function<void()> onFailure)
{
    client_.send(
            address, {.target_ = configPath}, peerRequestTimeout,
            [this, address, from, onFailure = std::move(onFailure)](const net::CallResult &result) {
                if (result && result->status_ == statusOk)
                    applyIfNewer(result->body_, address.text(), from);
                else if (onFailure)
                    onFailure();
            });
}

/** Requests a revision that another daemon has, unless it is in force or requested already. */
void PlatformSource::fetchConfig(const model::Address &address, model::Revision revision,
                                 RevisionOrigin from)
{
    if (revision <= std::max(revision_, requestedRevision_))
        return;
    requestedRevision_ = revision;
    requestConfig(address, from, [this, revision] {
        if (requestedRevision_ == revision)
            requestedRevision_ = 0;
        // The daemon may have exited; the log has the revision, too.
        if (revision > revision_)
            config_->catchUp();
    });
}

void PlatformSource::inquire(const model::Address &address, follow::PeerAccess::AnswerHandler done)
{
    client_.send(address, {.target_ = confirmationPath}, inquiryTimeout,
                 [done = std::move(done)](const net::CallResult &result) {
                     if (!result || result->status_ != statusOk) {
                         done(std::nullopt);
                         return;
                     }
                     const auto confirmation = follow::Confirmation::parse(result->body_);
                     done(confirmation ? std::optional(*confirmation) : std::nullopt);
                 });
}

/** Asks a daemon which process it is. */
void PlatformSource::identify(const model::Address &address, HolderWatch::IdentityHandler done)
{
    client_.send(
            address, {.target_ = processPath}, inquiryTimeout,
            [done = std::move(done)](const net::CallResult &result) {
                once::Incarnation process;
                if (!result || result->status_ != statusOk
                    || !(std::istringstream(result->body_) >> process.generation_ >> process.id_)) {
                    done(std::nullopt);
                    return;
                }
                done(process);
            });
}

net::HttpResponse PlatformSource::confirm() const
{
    if (const auto confirmation = config_->confirmation())
        return {.body_ = confirmation->encode()};
    return {.status_ = statusNotFound};
}

void PlatformSource::announceRevision(RevisionOrigin from)
{
    if (members_ == nullptr)
        return;
    const auto targets =
            announcementTargets(*members_, settings_.id_, settings_.dataCentre_, from, random_);
    for (const auto *member : targets.ownDataCentre_)
        sendAnnouncement(*member, false);
    for (const auto *member : targets.otherDataCentres_)
        sendAnnouncement(*member, true);
}

// Members that this does not reach receive the revision through membership.
void PlatformSource::sendAnnouncement(const model::Member &member, bool mustForward)
{
    const RevisionAnnouncement announcement{revision_, settings_.dataCentre_,
                                            settings_.controlAddress_, mustForward};
    client_.send(member.controlAddress_,
                 {.method_ = "POST", .target_ = announcementPath, .body_ = announcement.encode()},
                 peerRequestTimeout, [](const net::CallResult &) {});
}

net::HttpResponse PlatformSource::receiveAnnouncement(const std::string &body)
{
    const auto announcement = RevisionAnnouncement::parse(body);
    if (!announcement) {
        events::log(events::configRefused,
                    "from=news cause=\"" + announcement.error().message_ + "\"");
        return {.status_ = statusBadRequest, .body_ = announcement.error().message_ + "\n"};
    }
    fetchConfig(announcement->controlAddress_, announcement->revision_,
                announcement->mustForward_ ? RevisionOrigin::OtherDataCentre
                                           : RevisionOrigin::OwnDataCentre);
    return {};
}

void PlatformSource::restoreRetired(const model::RetiredBackend &retired)
{
    const bool isLastHeartbeatOutdated = tracker_.restore(retired);
    hooks_.onBackendRetired_(*tracker_.retired());
    if (!isLastHeartbeatOutdated)
        return;
    events::log(events::heartbeatIgnored, "cause=\"sent before the end that was announced to an "
                                          "earlier process of this daemon\"");
    hooks_.sendToDataTask_(BackendDraining{});
}

void PlatformSource::findSeeds()
{
    rendezvous_->requestSeeds();
}

std::optional<net::HttpResponse>
PlatformSource::handleControlRequest(const net::HttpRequest &request)
{
    if (request.target_ == announcementPath)
        return receiveAnnouncement(request.body_);
    if (request.target_ == confirmationPath)
        return confirm();
    if (request.target_ == processPath)
        return net::HttpResponse{.body_ = std::to_string(self_.generation_) + " " + self_.id_};
    if (request.target_ != configPath)
        return std::nullopt;
    if (revision_ == 0)
        return net::HttpResponse{.status_ = statusNotFound};
    return net::HttpResponse{.body_ = configRecord_};
}

net::HttpResponse PlatformSource::answerBackend(const net::HttpRequest &request)
{
    const auto message = binding_.decodeBackendMessage_(request);
    if (!message) {
        events::log(events::heartbeatIgnored, "cause=\"" + message.error().message_ + "\"");
        const bool isUnknownPath = message.error().code_ == "no-such-path";
        return {.status_ = isUnknownPath ? statusNotFound : statusBadRequest,
                .body_ = message.error().message_ + "\n"};
    }
    std::visit([this](const auto &decoded) { handle(decoded); }, *message);
    // Before the response, since this process may end right after it.
    if (const auto &retired = tracker_.retired()) {
        hooks_.onBackendRetired_(*retired);
        rendezvous_->storeRetired(*retired);
    }
    return {.headers_ = {{"Content-Type", "application/json"}}, .body_ = "{}"};
}

void PlatformSource::handle(const heartbeat::Heartbeat &message)
{
    if (const auto verdict = tracker_.process(message); verdict != heartbeat::Verdict::Accepted) {
        logIgnored(message.instanceId_, verdict);
        return;
    }
    if (message.isDraining_) {
        hooks_.sendToDataTask_(BackendDraining{});
        return;
    }
    hooks_.sendToDataTask_(BackendAnnounced{{.service_ = message.service_,
                                             .address_ = message.address_,
                                             .instanceId_ = message.instanceId_,
                                             .slots_ = message.slots_}});
}

void PlatformSource::handle(const heartbeat::Deregistration &message)
{
    if (const auto verdict = tracker_.process(message); verdict != heartbeat::Verdict::Accepted) {
        logIgnored(message.instanceId_, verdict);
        return;
    }
    hooks_.sendToDataTask_(BackendDraining{});
}

void PlatformSource::logIgnored(const std::string &instanceId, heartbeat::Verdict verdict)
{
    events::log(events::heartbeatIgnored,
                "instance=" + instanceId + " cause=" + std::string(verdictText(verdict)));
}

bool PlatformSource::isReady() const
{
    if (revision_ == 0 || isDraining_)
        return false;
    const bool hasOtherMembers = members_ != nullptr && members_->size() > 1;
    return hasOtherMembers || base::monotonicNow() - firstConfigTime_ >= aloneReadyDelay;
}

net::HttpResponse PlatformSource::answerProbe(const net::HttpRequest &request) const
{
    if (request.target_ != binding_.readinessPath_)
        return {.status_ = statusNotFound};
    return {.status_ = isReady() ? statusOk : statusUnavailable};
}

void PlatformSource::drain()
{
    isDraining_ = true;
}

} // namespace dock::details
