#include <dock/ControlTask.h>

#include <admin/AdminSources.h>
#include <base/Overloaded.h>
#include <dock/PlatformBinding.h>
#include <dock/StatusReport.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <gossip/GossipService.h>
#include <gossip/Options.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>
#include <settings/Settings.h>

#include "details/PlatformSource.h"
#include "details/StandaloneSource.h"

namespace dock {

namespace {

/** Time to send the last datagrams before the process exits. */
constexpr base::Millis leaveDelay(200);

constexpr int statusNoSuchPath = 404;

} // namespace

struct ControlTask::Impl
{
    using Members = std::shared_ptr<const std::vector<model::Member>>;

    /** Source of configurations and of the addresses of other daemons. */
    using Source = std::variant<std::unique_ptr<details::StandaloneSource>,
                                std::unique_ptr<details::PlatformSource>>;

    Impl(const settings::Settings &settings, once::Incarnation self, SendFunction sendMessage,
         EndedCallback onEnded, std::optional<PlatformBinding> binding)
        : settings_(settings)
        , binding_(std::move(binding))
        , self_(std::move(self))
        , sendMessage_(std::move(sendMessage))
        , onEnded_(std::move(onEnded))
    {}

    base::Result<void> listen();
    base::Result<void> startGossip();
    void startSource();
    admin::AdminSources adminSources();
    StatusReport report() const;
    std::vector<admin::RevisionCount> revisionCounts() const;
    void onControlRequest(net::ExchangeId id, const net::HttpRequest &request);
    void onMembers(Members members);
    void onConfig(std::shared_ptr<const model::Config> config);
    void handle(const ControlTaskMessage &message);
    void updateSelf();
    void beginDrain();
    void leave();

    /** Calls the function with the source in use. */
    template<typename Function>
    auto withSource(Function function) const
    {
        return std::visit([&function](const auto &source) { return function(*source); }, source_);
    }

    /** The source in use if that is the platform, else nullptr. */
    details::PlatformSource *platformSource() const
    {
        const auto *source = std::get_if<std::unique_ptr<details::PlatformSource>>(&source_);
        return source != nullptr ? source->get() : nullptr;
    }

    const settings::Settings &settings_;
    const std::optional<PlatformBinding> binding_;
    once::Incarnation self_;
    SendFunction sendMessage_;
    EndedCallback onEnded_;
    net::Reactor reactor_;
    std::unique_ptr<net::HttpServer> controlServer_;
    std::unique_ptr<gossip::GossipService> gossip_;
    Source source_;
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
                         withSource([](auto &source) { source.findSeeds(); });
                     }});
    if (!service)
        return tl::unexpected(service.error());
    gossip_ = std::move(*service);
    return {};
}

void ControlTask::Impl::startSource()
{
    details::SourceHooks hooks{.onConfig_ =
                                       [this](std::shared_ptr<const model::Config> config) {
                                           onConfig(std::move(config));
                                       },
                               .onSeeds_ =
                                       [this](std::vector<model::Address> seeds) {
                                           gossip_->addSeeds(std::move(seeds));
                                       },
                               .sendToDataTask_ = sendMessage_,
                               .onBackendRetired_ =
                                       [this](const model::RetiredBackend &retired) {
                                           gossip_->announceRetired(retired);
                                       }};
    if (binding_)
        source_ = std::make_unique<details::PlatformSource>(reactor_, settings_, *binding_,
                                                            self_.generation_, std::move(hooks));
    else
        source_ = std::make_unique<details::StandaloneSource>(reactor_, settings_,
                                                              self_.generation_, std::move(hooks));
}

admin::AdminSources ControlTask::Impl::adminSources()
{
    return {.members_ = [this] { return gossip_->members(); },
            .revisions_ = [this] { return revisionCounts(); },
            .status_ = [this] { return report().json(); },
            .metrics_ = [this] { return report().prometheus(); },
            .histograms_ =
                    [this] {
                        return report().histogramsJson();
                    }};
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
            .revision_ = withSource([](const auto &source) { return source.revision(); }),
            .gossip_ = gossip_->counters(),
            .dataStatus_ = dataStatus_};
}

void ControlTask::Impl::onControlRequest(net::ExchangeId id, const net::HttpRequest &request)
{
    auto answer = gossip_->handleControlRequest(request);
    if (!answer)
        answer = withSource(
                [&request](auto &source) { return source.handleControlRequest(request); });
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
        sendMessage_(IncarnationChanged{self_});
    }
    if (const auto retired = gossip_->self().retired_) {
        if (auto *platform = platformSource())
            platform->restoreRetired(*retired);
    }
    withSource([&members](auto &source) { source.setMembers(members); });
    sendMessage_(MembersUpdated{std::move(members)});
}

void ControlTask::Impl::onConfig(std::shared_ptr<const model::Config> config)
{
    events::log(events::configInForce, "revision=" + std::to_string(config->revision_));
    sendMessage_(ConfigUpdated{std::move(config)});
    updateSelf();
}

void ControlTask::Impl::updateSelf()
{
    gossip_->updateSelf(backend_.serving_, backend_.service_, backend_.slots_,
                        withSource([](const auto &source) { return source.revision(); }));
}

void ControlTask::Impl::handle(const ControlTaskMessage &message)
{
    std::visit(base::Overloaded{
                       [this](const BackendStateChanged &change) {
                           backend_ = change.backend_;
                           updateSelf();
                       },
                       [this](const DataStatus &status) { dataStatus_ = status; },
                       [this](const DrainEnded &) { leave(); },
                       [this](const ClaimAuthority &claim) {
                           if (auto *platform = platformSource())
                               platform->claimAuthority(claim);
                       },
                       [this](const PartitionEndHeard &heard) {
                           if (auto *platform = platformSource())
                               platform->hearPartitionEnd(heard);
                       },
                       [this](const ReleaseAuthority &) {
                           if (auto *platform = platformSource())
                               platform->releaseAuthority();
                       },
               },
               message);
}

void ControlTask::Impl::beginDrain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    withSource([](auto &source) { source.drain(); });
    sendMessage_(BeginDrain{});
}

void ControlTask::Impl::leave()
{
    gossip_->leave();
    reactor_.schedule(leaveDelay, [this] { onEnded_(); });
}

ControlTask::ControlTask(const settings::Settings &settings, once::Incarnation self,
                         SendFunction sendMessage, EndedCallback onEnded,
                         std::optional<PlatformBinding> binding)
    : impl_(std::make_unique<Impl>(settings, std::move(self), std::move(sendMessage),
                                   std::move(onEnded), std::move(binding)))
{}

ControlTask::~ControlTask()
{
    stop();
}

base::Result<void> ControlTask::start()
{
    if (auto gossiping = impl_->startGossip(); !gossiping)
        return gossiping;
    impl_->startSource();
    if (auto listening = impl_->listen(); !listening)
        return listening;
    const auto sourceStarted =
            impl_->withSource([this](auto &source) { return source.start(impl_->adminSources()); });
    if (!sourceStarted)
        return sourceStarted;
    activate();
    return {};
}

void ControlTask::deliver(ControlTaskMessage message)
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
