#include "NoteSource.h"

#include <admin/AdminServer.h>
#include <logclient/HttpLogClient.h>
#include <notesync/NoteService.h>
#include <rendezvous/RendezvousService.h>
#include <settings/Settings.h>

namespace dock::details {

namespace {

constexpr base::Millis logTimeout(2000);

} // namespace

NoteSource::NoteSource(net::Reactor &reactor, const settings::Settings &settings,
                       std::uint64_t seed, SourceHooks hooks)
    : reactor_(reactor)
    , settings_(settings)
{
    notesync::SyncOptions options;
    options.selfId_ = settings.id_;
    options.dataCentre_ = settings.dataCentre_;
    options.seed_ = seed;
    options.retention_ = settings.logRetention_;
    notes_ = std::make_unique<notesync::NoteService>(reactor, openLog(), options,
                                                     std::move(hooks.onConfig_));
    rendezvous_ = std::make_unique<rendezvous::RendezvousService>(
            reactor, openLog(),
            rendezvous::Options{.selfId_ = settings.id_,
                                .dataCentre_ = settings.dataCentre_,
                                .controlAddress_ = settings.controlAddress_,
                                .seed_ = seed},
            std::move(hooks.onSeeds_));
}

NoteSource::~NoteSource() = default;

std::unique_ptr<logclient::LogClient> NoteSource::openLog() const
{
    return std::make_unique<logclient::HttpLogClient>(reactor_, settings_.logAddress_, logTimeout);
}

base::Result<void> NoteSource::start(admin::AdminSources sources)
{
    auto server = admin::AdminServer::start(
            reactor_, {.listen_ = settings_.adminAddress_, .token_ = settings_.adminToken_},
            *notes_, std::move(sources));
    if (!server)
        return tl::unexpected(server.error());
    admin_ = std::move(*server);
    return {};
}

void NoteSource::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    notes_->setMembers(members);
    rendezvous_->setMembers(std::move(members));
}

void NoteSource::wantSeeds()
{
    rendezvous_->wantSeeds();
}

std::optional<net::HttpResponse> NoteSource::handleControlRequest(const net::HttpRequest &request)
{
    return notes_->handleControlRequest(request);
}

model::Revision NoteSource::revision() const
{
    return notes_->revision();
}

} // namespace dock::details
