#include "PlatformSource.h"

#include <algorithm>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <dock/CallerAnswer.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <follow/FollowService.h>
#include <logclient/KeyedLog.h>
#include <model/Election.h>
#include <rendezvous/KeyedMeeting.h>
#include <settings/Settings.h>

namespace dock::details {

namespace {

/** Path on the control port at which daemons give each other the configuration in force. */
const std::string configPath = "/config";

/** Path on the control port at which a daemon is told of a revision. */
const std::string newsPath = "/config-news";

/** Daemons of a data centre that wait for records at the log; one of them may be cut off. */
constexpr std::size_t readersPerDataCentre = 2;
constexpr const char *readerDuty = "config-reader";

/**
 * Time in which the own read is expected to bring a revision that others have, before it is asked
 * for: the time of a few answers of the log.
 */
constexpr base::Millis catchUpDelay(300);

/**
 * A daemon with a configuration that knows no other one is ready after this time, in which two
 * attempts to join are made: it may be the only one.
 */
constexpr base::Millis readyAloneAfter(2500);

constexpr base::Millis outcomeQueryTimeout(1000);
constexpr std::uint32_t maxConnections = 256;
constexpr std::size_t longestMessage = 64 * 1024;
constexpr int statusOk = 200;

} // namespace

PlatformSource::PlatformSource(net::Reactor &reactor, const settings::Settings &settings,
                               const PlatformBinding &binding, std::uint64_t seed,
                               SourceHooks hooks)
    : reactor_(reactor)
    , settings_(settings)
    , binding_(binding)
    , hooks_(std::move(hooks))
    , log_(binding.openLog_(reactor))
    , client_(reactor)
    , tracker_(settings.platform_->service_, settings.platform_->backendAddress_)
    , random_(seed)
{
    follow::Options options;
    options.seed_ = seed;
    config_ = std::make_unique<follow::FollowService>(
            reactor, *log_, binding.configTopic_, options,
            [this](const std::vector<logclient::KeyedRecord> &records) { onRecords(records); });
    meeting_ = std::make_unique<rendezvous::KeyedMeeting>(
            reactor, *log_,
            rendezvous::KeyedOptions{
                    .topic_ = binding.meetingTopic_,
                    .self_ = {settings.id_, settings.dataCentre_, settings.controlAddress_},
                    .seed_ = seed},
            [this](std::vector<model::Address> seeds) { hooks_.onSeeds_(std::move(seeds)); });
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
                                    .maxBodyBytes_ = longestMessage,
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

void PlatformSource::onRecords(const std::vector<logclient::KeyedRecord> &records)
{
    for (const auto &record : records) {
        if (record.key_ == binding_.configKey_ && !record.value_.empty())
            offerConfig(record.value_, "log", LearntFrom::Log);
    }
}

/** Puts a configuration in force unless it is invalid or not newer than the one in force. */
void PlatformSource::offerConfig(const std::string &record, const std::string &from,
                                 LearntFrom learntFrom)
{
    auto config = binding_.decodeConfig_(record);
    if (!config) {
        events::log(events::configRefused, "from=" + from + " inForce=" + std::to_string(revision_)
                                                   + " cause=\"" + config.error().message_ + "\"");
        return;
    }
    if (config->revision_ <= revision_)
        return;
    if (revision_ == 0)
        configuredAt_ = base::monotonicNow();
    revision_ = config->revision_;
    record_ = record;
    hooks_.onConfig_(std::make_shared<const model::Config>(std::move(*config)));
    tellOthers(learntFrom);
}

void PlatformSource::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    members_ = std::move(members);
    config_->setTold(!model::isElectedFor(readerDuty, *members_, settings_.id_,
                                          settings_.dataCentre_, readersPerDataCentre));
    if (catchUpTimer_ == 0 && isBehind())
        catchUpTimer_ = reactor_.schedule(catchUpDelay, [this] { catchUp(); });
}

bool PlatformSource::isBehind() const
{
    return std::any_of(members_->begin(), members_->end(), [this](const model::Member &member) {
        return member.revision_ > revision_;
    });
}

/** One of the members with the newest configuration, of the own data centre if there is one. */
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

/** Asks another daemon, and from the second time on the log as well. */
void PlatformSource::catchUp()
{
    catchUpTimer_ = 0;
    if (!isBehind()) {
        catchUps_ = 0;
        return;
    }
    if (++catchUps_ > 1)
        config_->catchUp();
    askMember(chooseNewest().controlAddress_, LearntFrom::OwnDataCentre);
    catchUpTimer_ = reactor_.schedule(outcomeQueryTimeout, [this] { catchUp(); });
}

void PlatformSource::askMember(const model::Address &address, LearntFrom from)
{
    client_.send(address, {.target_ = configPath}, outcomeQueryTimeout,
                 [this, address, from](const net::CallResult &result) {
                     askedFor_ = 0;
                     if (result && result->status_ == statusOk)
                         offerConfig(result->body_, address.text(), from);
                 });
}

void PlatformSource::tellOthers(LearntFrom from)
{
    if (members_ == nullptr)
        return;
    const auto targets =
            newsTargets(*members_, settings_.id_, settings_.dataCentre_, from, random_);
    for (const auto *member : targets.ownDataCentre_)
        tell(*member, false);
    for (const auto *member : targets.otherDataCentres_)
        tell(*member, true);
}

// Whoever is not reached hears of the revision by membership.
void PlatformSource::tell(const model::Member &member, bool isToBeTold)
{
    const RevisionNews news{revision_, settings_.dataCentre_, settings_.controlAddress_,
                            isToBeTold};
    client_.send(member.controlAddress_,
                 {.method_ = "POST", .target_ = newsPath, .body_ = news.text()},
                 outcomeQueryTimeout, [](const net::CallResult &) {});
}

net::HttpResponse PlatformSource::hear(const std::string &text)
{
    const auto news = RevisionNews::parse(text);
    if (!news) {
        events::log(events::configRefused, "from=news cause=\"" + news.error().message_ + "\"");
        return {.status_ = statusBadRequest, .body_ = news.error().message_ + "\n"};
    }
    if (news->revision_ > std::max(revision_, askedFor_)) {
        askedFor_ = news->revision_;
        askMember(news->controlAddress_,
                  news->isToBeTold_ ? LearntFrom::OtherDataCentre : LearntFrom::OwnDataCentre);
    }
    return {};
}

void PlatformSource::wantSeeds()
{
    meeting_->wantSeeds();
}

std::optional<net::HttpResponse>
PlatformSource::handleControlRequest(const net::HttpRequest &request)
{
    if (request.target_ == newsPath)
        return hear(request.body_);
    if (request.target_ != configPath)
        return std::nullopt;
    if (revision_ == 0)
        return net::HttpResponse{.status_ = statusNotFound};
    return net::HttpResponse{.body_ = record_};
}

net::HttpResponse PlatformSource::answerBackend(const net::HttpRequest &request)
{
    const auto message = binding_.decodeBackendMessage_(request);
    if (!message) {
        events::log(events::heartbeatIgnored, "cause=\"" + message.error().message_ + "\"");
        const bool isPath = message.error().code_ == "no-such-path";
        return {.status_ = isPath ? statusNotFound : statusBadRequest,
                .body_ = message.error().message_ + "\n"};
    }
    std::visit([this](const auto &one) { take(one); }, *message);
    return {.headers_ = {{"Content-Type", "application/json"}}, .body_ = "{}"};
}

void PlatformSource::take(const heartbeat::Heartbeat &message)
{
    if (const auto verdict = tracker_.process(message); verdict != heartbeat::Verdict::Accepted) {
        noteIgnored(message.instanceId_, verdict);
        return;
    }
    if (message.isDraining_) {
        hooks_.toData_(BackendLeaving{});
        return;
    }
    hooks_.toData_(BackendAnnounced{{.service_ = message.service_,
                                     .address_ = message.address_,
                                     .instanceId_ = message.instanceId_,
                                     .slots_ = message.slots_}});
}

void PlatformSource::take(const heartbeat::Deregistration &message)
{
    if (const auto verdict = tracker_.process(message); verdict != heartbeat::Verdict::Accepted) {
        noteIgnored(message.instanceId_, verdict);
        return;
    }
    hooks_.toData_(BackendLeaving{});
}

void PlatformSource::noteIgnored(const std::string &instanceId, heartbeat::Verdict verdict)
{
    events::log(events::heartbeatIgnored,
                "instance=" + instanceId + " cause=" + std::string(verdictText(verdict)));
}

bool PlatformSource::isReady() const
{
    if (revision_ == 0 || isDraining_)
        return false;
    const bool knowsOthers = members_ != nullptr && members_->size() > 1;
    return knowsOthers || base::monotonicNow() - configuredAt_ >= readyAloneAfter;
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
