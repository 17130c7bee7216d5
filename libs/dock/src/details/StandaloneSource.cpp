#include "StandaloneSource.h"

#include <admin/AdminServer.h>
#include <logclient/HttpLogClient.h>
#include <notesync/NoteService.h>
#include <rendezvous/RendezvousService.h>
#include <settings/Settings.h>

namespace dock::details {

namespace {

constexpr base::Millis logRequestTimeout(2000);

} // namespace

StandaloneSource::StandaloneSource(net::Reactor &reactor, const settings::Settings &settings,
                                   std::uint64_t randomSeed, SourceHooks hooks)
    : reactor_(reactor)
    , settings_(settings)
{
    notesync::SyncOptions options;
    options.selfId_ = settings.id_;
    options.dataCentre_ = settings.dataCentre_;
    options.seed_ = randomSeed;
    options.retention_ = settings.logRetention_;
    releaseNotes_ = std::make_unique<notesync::NoteService>(reactor, openLog(), options,
                                                            std::move(hooks.onConfig_));
    rendezvous_ = std::make_unique<rendezvous::RendezvousService>(
            reactor, openLog(),
            rendezvous::Options{.selfId_ = settings.id_,
                                .dataCentre_ = settings.dataCentre_,
                                .controlAddress_ = settings.controlAddress_,
                                .seed_ = randomSeed},
            std::move(hooks.onSeeds_));
}

StandaloneSource::~StandaloneSource() = default;

std::unique_ptr<logclient::LogClient> StandaloneSource::openLog() const
{
    return std::make_unique<logclient::HttpLogClient>(reactor_, settings_.logAddress_,
                                                      logRequestTimeout);
}

base::Result<void> StandaloneSource::start(admin::AdminSources sources)
{
    auto server = admin::AdminServer::start(
            reactor_, {.listen_ = settings_.adminAddress_, .token_ = settings_.adminToken_},
            *releaseNotes_, std::move(sources));
    if (!server)
        return tl::unexpected(server.error());
    admin_ = std::move(*server);
    return {};
}

void StandaloneSource::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    releaseNotes_->setMembers(members);
    rendezvous_->setMembers(std::move(members));
}

void StandaloneSource::findSeeds()
{
    rendezvous_->requestSeeds();
}

std::optional<net::HttpResponse>
StandaloneSource::handleControlRequest(const net::HttpRequest &request)
{
    return releaseNotes_->handleControlRequest(request);
}

model::Revision StandaloneSource::revision() const
{
    return releaseNotes_->revision();
}

} // namespace dock::details
