#include <rendezvous/RendezvousService.h>

#include <algorithm>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <logclient/LogClient.h>
#include <net/Reactor.h>
#include <rendezvous/Core.h>

namespace rendezvous {

namespace {

const std::string stream = "fuchsiadock-rendezvous";
constexpr std::uint64_t tailRecords = 64;
constexpr base::Millis tickInterval(1000);

} // namespace

struct RendezvousService::Impl
{
    Impl(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log, const Options &options,
         SeedsHandler onSeeds)
        : reactor_(reactor)
        , log_(std::move(log))
        , core_(options)
        , onSeeds_(std::move(onSeeds))
    {}

    void dispatch(const Event &event);
    void readTail();
    void readRecords(std::uint64_t first, std::uint64_t next);
    void tick();

    net::Reactor &reactor_;
    std::unique_ptr<logclient::LogClient> log_;
    Core core_;
    SeedsHandler onSeeds_;
    net::TimerId timer_ = 0;
};

void RendezvousService::Impl::dispatch(const Event &event)
{
    for (const auto &command : core_.handle(event, base::monotonicNow())) {
        std::visit(base::Overloaded{
                           [this](const ReadTail &) { readTail(); },
                           [this](const Append &append) {
                               log_->append(stream, append.data_, [](const auto &) {});
                           },
                           [this](const AddSeeds &seeds) { onSeeds_(seeds.addresses_); },
                   },
                   command);
    }
}

// Any response to a read states the extent of the stream, also that to a read of trimmed records.
void RendezvousService::Impl::readTail()
{
    log_->read(stream, 0, 1, [this](const logclient::ReadResult &result) {
        if (result) {
            readRecords(result->first_, result->next_);
            return;
        }
        if (const auto *trimmed = std::get_if<logclient::Trimmed>(&result.error()))
            readRecords(trimmed->first_, trimmed->next_);
        else
            dispatch(ReadFailed{});
    });
}

void RendezvousService::Impl::readRecords(std::uint64_t first, std::uint64_t next)
{
    const auto from = std::max(first, next > tailRecords ? next - tailRecords : 0);
    log_->read(stream, from, tailRecords, [this](const logclient::ReadResult &result) {
        if (!result) {
            dispatch(ReadFailed{});
            return;
        }
        TailRead tail;
        for (const auto &record : result->records_)
            tail.records_.push_back(record.data_);
        dispatch(tail);
    });
}

void RendezvousService::Impl::tick()
{
    dispatch(Tick{});
    timer_ = reactor_.schedule(tickInterval, [this] { tick(); });
}

RendezvousService::RendezvousService(net::Reactor &reactor,
                                     std::unique_ptr<logclient::LogClient> log,
                                     const Options &options, SeedsHandler onSeeds)
    : impl_(std::make_unique<Impl>(reactor, std::move(log), options, std::move(onSeeds)))
{
    impl_->tick();
}

RendezvousService::~RendezvousService()
{
    impl_->reactor_.cancel(impl_->timer_);
}

void RendezvousService::requestSeeds()
{
    impl_->dispatch(SeedsRequested{});
}

void RendezvousService::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    impl_->dispatch(MembersChanged{std::move(members)});
}

} // namespace rendezvous
