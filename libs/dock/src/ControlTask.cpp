#include <dock/ControlTask.h>

#include <admin/AdminServer.h>
#include <base/Overloaded.h>
#include <dock/StatusReport.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <gossip/GossipService.h>
#include <gossip/Options.h>
#include <logclient/HttpLogClient.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>
#include <notesync/NoteService.h>
#include <rendezvous/RendezvousService.h>
#include <settings/Settings.h>

namespace dock {

namespace {

constexpr base::Millis logTimeout(2000);

/** Time for the last datagrams to be sent before the process ends. */
constexpr base::Millis leaveTime(500);

constexpr int statusNoSuchPath = 404;

} // namespace

struct ControlTask::Impl
{
    using Members = std::shared_ptr<const std::vector<model::Member>>;

    Impl(const settings::Settings &settings, once::Incarnation self, Outbox outbox, Ended onEnded)
        : settings_(settings)
        , self_(std::move(self))
        , outbox_(std::move(outbox))
        , onEnded_(std::move(onEnded))
    {}

    base::Result<void> listen();
    base::Result<void> startGossip();
    void startNotes();
    void startRendezvous();
    std::unique_ptr<logclient::LogClient> logClient();
    base::Result<void> startAdmin();
    StatusReport report() const;
    std::vector<admin::RevisionCount> revisionCounts() const;
    void onControlRequest(net::ExchangeId id, const net::HttpRequest &request);
    void onMembers(Members members);
    void onConfig(std::shared_ptr<const model::Config> config);
    void handle(const ToControl &message);
    void updateSelf();
    void beginDrain();
    void leave();

    const settings::Settings &settings_;
    once::Incarnation self_;
    Outbox outbox_;
    Ended onEnded_;
    net::Reactor reactor_;
    std::unique_ptr<net::HttpServer> controlServer_;
    std::unique_ptr<gossip::GossipService> gossip_;
    std::unique_ptr<notesync::NoteService> notes_;
    std::unique_ptr<rendezvous::RendezvousService> rendezvous_;
    std::unique_ptr<admin::AdminServer> admin_;
    DataStatus dataStatus_;
    BackendServer backend_;
    bool isDraining_ = false;
    bool wasIsolated_ = false;
};

base::Result<void> ControlTask::Impl::listen()
{
    auto server =
            net::HttpServer::start(reactor_, {.listen_ = settings_.controlAddress_},
                                   [this](net::ExchangeId id, const net::HttpRequest &request) {
                                       onControlRequest(id, request);
                                   });
    if (!server)
        return tl::unexpected(server.error());
    controlServer_ = std::move(*server);
    return {};
}

base::Result<void> ControlTask::Impl::startGossip()
{
    const model::Member self{.id_ = settings_.id_,
                             .generation_ = self_.generation_,
                             .region_ = settings_.region_,
                             .dataCentre_ = settings_.dataCentre_,
                             .peerAddress_ = settings_.peerAddress_,
                             .controlAddress_ = settings_.controlAddress_};
    auto service = gossip::GossipService::start(
            reactor_,
            {.self_ = self, .seeds_ = settings_.seeds_, .clusterSecret_ = settings_.clusterSecret_},
            {.onMembers_ = [this](Members members) { onMembers(std::move(members)); },
             .onSeedsWanted_ =
                     [this] {
                         rendezvous_->wantSeeds();
                     }});
    if (!service)
        return tl::unexpected(service.error());
    gossip_ = std::move(*service);
    return {};
}

void ControlTask::Impl::startNotes()
{
    notesync::SyncOptions options;
    options.selfId_ = settings_.id_;
    options.dataCentre_ = settings_.dataCentre_;
    options.seed_ = self_.generation_;
    options.retention_ = settings_.logRetention_;
    notes_ = std::make_unique<notesync::NoteService>(
            reactor_, logClient(), options,
            [this](std::shared_ptr<const model::Config> config) { onConfig(std::move(config)); });
}

std::unique_ptr<logclient::LogClient> ControlTask::Impl::logClient()
{
    return std::make_unique<logclient::HttpLogClient>(reactor_, settings_.logAddress_, logTimeout);
}

void ControlTask::Impl::startRendezvous()
{
    rendezvous_ = std::make_unique<rendezvous::RendezvousService>(
            reactor_, logClient(),
            rendezvous::Options{.selfId_ = settings_.id_,
                                .dataCentre_ = settings_.dataCentre_,
                                .controlAddress_ = settings_.controlAddress_,
                                .seed_ = self_.generation_},
            [this](std::vector<model::Address> seeds) { gossip_->addSeeds(std::move(seeds)); });
}

base::Result<void> ControlTask::Impl::startAdmin()
{
    auto server = admin::AdminServer::start(
            reactor_, {.listen_ = settings_.adminAddress_, .token_ = settings_.adminToken_},
            *notes_,
            {.members_ = [this] { return gossip_->members(); },
             .revisions_ = [this] { return revisionCounts(); },
             .status_ = [this] { return report().json(); },
             .metrics_ = [this] { return report().prometheus(); },
             .histograms_ =
                     [this] {
                         return report().histogramsJson();
                     }});
    if (!server)
        return tl::unexpected(server.error());
    admin_ = std::move(*server);
    return {};
}

std::vector<admin::RevisionCount> ControlTask::Impl::revisionCounts() const
{
    std::vector<admin::RevisionCount> counts;
    for (const auto &summary : gossip_->revisions()) {
        for (const auto &[revision, daemons] : summary.counts_)
            counts.push_back({summary.dataCentre_, revision, daemons});
    }
    return counts;
}

StatusReport ControlTask::Impl::report() const
{
    return {.id_ = settings_.id_,
            .dataCentre_ = settings_.dataCentre_,
            .isDraining_ = isDraining_,
            .isIsolated_ = gossip_->isIsolated(),
            .unreachableDataCentres_ = gossip_->unreachableDataCentres(),
            .members_ = *gossip_->members(),
            .revisions_ = gossip_->revisions(),
            .notes_ = notes_->status(),
            .gossip_ = gossip_->counters(),
            .data_ = dataStatus_};
}

void ControlTask::Impl::onControlRequest(net::ExchangeId id, const net::HttpRequest &request)
{
    auto answer = gossip_->handleControlRequest(request);
    if (!answer)
        answer = notes_->handleControlRequest(request);
    if (!answer)
        answer = net::HttpResponse{.status_ = statusNoSuchPath};
    controlServer_->respond(id, std::move(*answer));
}

void ControlTask::Impl::onMembers(Members members)
{
    events::log(events::membersChanged, "live=" + std::to_string(members->size()));
    if (const bool isIsolated = gossip_->isIsolated(); isIsolated != wasIsolated_) {
        wasIsolated_ = isIsolated;
        if (isIsolated)
            events::log(events::isolated, "no other daemon answers");
    }
    if (const auto generation = gossip_->self().generation_; generation != self_.generation_) {
        self_.generation_ = generation;
        events::log(events::generationRaised, "generation=" + std::to_string(generation));
        outbox_(IncarnationChanged{self_});
    }
    notes_->setMembers(members);
    rendezvous_->setMembers(members);
    outbox_(MembersKnown{std::move(members)});
}

void ControlTask::Impl::onConfig(std::shared_ptr<const model::Config> config)
{
    events::log(events::configInForce, "revision=" + std::to_string(config->revision_));
    outbox_(ConfigInForce{std::move(config)});
    updateSelf();
}

void ControlTask::Impl::updateSelf()
{
    gossip_->updateSelf(backend_.serving_, backend_.service_, backend_.slots_, notes_->revision());
}

void ControlTask::Impl::handle(const ToControl &message)
{
    std::visit(base::Overloaded{
                       [this](const BackendStateChanged &change) {
                           backend_ = change.backend_;
                           updateSelf();
                       },
                       [this](const DataStatus &status) { dataStatus_ = status; },
                       [this](const DrainEnded &) { leave(); },
               },
               message);
}

void ControlTask::Impl::beginDrain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    outbox_(BeginDrain{});
}

void ControlTask::Impl::leave()
{
    gossip_->leave();
    reactor_.schedule(leaveTime, [this] { onEnded_(); });
}

ControlTask::ControlTask(const settings::Settings &settings, once::Incarnation self, Outbox outbox,
                         Ended onEnded)
    : impl_(std::make_unique<Impl>(settings, std::move(self), std::move(outbox),
                                   std::move(onEnded)))
{}

ControlTask::~ControlTask()
{
    stop();
}

base::Result<void> ControlTask::start()
{
    if (auto gossiping = impl_->startGossip(); !gossiping)
        return gossiping;
    impl_->startNotes();
    impl_->startRendezvous();
    if (auto listening = impl_->listen(); !listening)
        return listening;
    if (auto administering = impl_->startAdmin(); !administering)
        return administering;
    activate();
    return {};
}

void ControlTask::deliver(ToControl message)
{
    impl_->reactor_.post(
            [impl = impl_.get(), message = std::move(message)] { impl->handle(message); });
}

void ControlTask::beginDrain()
{
    impl_->reactor_.post([impl = impl_.get()] { impl->beginDrain(); });
}

void ControlTask::stop()
{
    impl_->reactor_.stop();
    wait();
}

int ControlTask::svc()
{
    impl_->reactor_.run();
    return 0;
}

} // namespace dock
