#include <gossip/GossipService.h>

#include <base/Clock.h>
#include <base/Hash.h>
#include <base/Overloaded.h>
#include <membership/Codec.h>
#include <membership/Core.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>

#include "DatagramSocket.h"
#include "StateServer.h"

namespace gossip {
namespace {

using base::Millis;

constexpr Millis tickInterval(100);
constexpr Millis notifyInterval(200);
constexpr Millis fetchTimeout(5000);
constexpr std::size_t maxStateBytes = 4 * 1024 * 1024;

membership::Options coreOptions(const Options &options, std::uint16_t port)
{
    membership::Options result{options.self_, options.seeds_, options.randomSeed_, options.timing_};
    result.self_.controlAddress_.port_ = port;
    if (result.self_.generation_ == 0)
        result.self_.generation_ = static_cast<std::uint64_t>(base::wallNow().micros());
    if (result.randomSeed_ == 0)
        result.randomSeed_ = base::hash64(result.self_.id_, result.self_.generation_);
    return result;
}

} // namespace

struct GossipService::Impl
{
    Impl(net::Reactor &reactor, const Options &options, Callbacks callbacks)
        : reactor_(reactor)
        , callbacks_(std::move(callbacks))
        , codec_(options.clusterSecret_)
        , client_(reactor, {.maxBodyBytes_ = maxStateBytes})
        , socket_(reactor, [this](const auto &from, auto bytes) { receive(from, bytes); })
        , stateServer_(codec_, [this](const std::string &dataCentre) {
            return core_->state(base::monotonicNow(), dataCentre);
        })
    {}

    ~Impl()
    {
        reactor_.cancel(tickTimer_);
        reactor_.cancel(notifyTimer_);
        client_.cancel(fetchCall_);
    }

    void handle(const membership::Event &event);
    void execute(const membership::Send &send);
    void execute(const membership::FetchState &fetch);
    void execute(const membership::FindSeeds &);
    void execute(const membership::MembersChanged &);
    void receive(const model::Address &from, std::string_view bytes);
    void finishFetch(const membership::FetchState &fetch, const net::CallResult &result);
    void tick();
    void notify();

    net::Reactor &reactor_;
    Callbacks callbacks_;
    membership::Codec codec_;
    std::unique_ptr<membership::Core> core_;
    net::HttpClient client_;
    DatagramSocket socket_;
    StateServer stateServer_;
    Counters counters_;
    std::shared_ptr<const std::vector<model::Member>> members_;
    net::TimerId tickTimer_ = 0;
    net::TimerId notifyTimer_ = 0;
    net::CallId fetchCall_ = 0;
    Millis lastNotified_;
};

void GossipService::Impl::handle(const membership::Event &event)
{
    for (const auto &command : core_->handle(event, base::monotonicNow()))
        std::visit([this](const auto &alternative) { execute(alternative); }, command);
}

void GossipService::Impl::execute(const membership::Send &send)
{
    const auto bytes = codec_.encode(send.datagram_);
    if (!socket_.send(send.to_, bytes)) {
        ++counters_.datagramsUnsent_;
        return;
    }
    ++counters_.datagramsSent_;
    counters_.bytesSent_ += bytes.size();
}

void GossipService::Impl::execute(const membership::FetchState &fetch)
{
    net::HttpRequest request;
    request.target_ = statePath;
    if (!fetch.dataCentre_.empty())
        request.target_ += std::string(dataCentreQuery) + fetch.dataCentre_;
    if (const auto signature = codec_.signature(request.target_); !signature.empty())
        request.headers_.push_back({std::string(signatureHeader), signature});
    fetchCall_ = client_.send(
            fetch.from_, std::move(request), fetchTimeout,
            [this, fetch](const net::CallResult &result) { finishFetch(fetch, result); });
}

void GossipService::Impl::execute(const membership::FindSeeds &)
{
    if (callbacks_.onSeedsWanted_)
        reactor_.post(callbacks_.onSeedsWanted_);
}

void GossipService::Impl::execute(const membership::MembersChanged &)
{
    if (notifyTimer_ != 0)
        return;
    const auto since = base::monotonicNow() - lastNotified_;
    const auto wait = std::max(Millis(), notifyInterval - since);
    notifyTimer_ = reactor_.schedule(wait, [this] { notify(); });
}

void GossipService::Impl::receive(const model::Address &from, std::string_view bytes)
{
    ++counters_.datagramsReceived_;
    counters_.bytesReceived_ += bytes.size();
    auto datagram = codec_.decode(bytes);
    if (!datagram || bytes.size() > membership::maxDatagramBytes) {
        ++counters_.datagramsRefused_;
        return;
    }
    handle(membership::DatagramReceived{from, std::move(*datagram)});
}

void GossipService::Impl::finishFetch(const membership::FetchState &fetch,
                                      const net::CallResult &result)
{
    fetchCall_ = 0;
    if (result && result->status_ == 200) {
        if (auto records = codec_.decodeState(result->body_)) {
            ++counters_.statesFetched_;
            counters_.stateBytesFetched_ += result->body_.size();
            handle(membership::StateFetched{fetch.from_, fetch.request_, std::move(*records)});
            return;
        }
    }
    handle(membership::StateFetchFailed{fetch.request_});
}

void GossipService::Impl::tick()
{
    tickTimer_ = reactor_.schedule(tickInterval, [this] { tick(); });
    handle(membership::Tick{});
}

void GossipService::Impl::notify()
{
    notifyTimer_ = 0;
    lastNotified_ = base::monotonicNow();
    members_ = std::make_shared<const std::vector<model::Member>>(core_->members());
    if (callbacks_.onMembers_)
        callbacks_.onMembers_(members_);
}

base::Result<std::unique_ptr<GossipService>>
GossipService::start(net::Reactor &reactor, Options options, Callbacks callbacks)
{
    if (auto checked = membership::Codec::check(options.self_); !checked)
        return tl::unexpected(checked.error());
    auto impl = std::make_unique<Impl>(reactor, options, std::move(callbacks));
    if (auto bound = impl->socket_.bind(options.self_.controlAddress_); !bound)
        return tl::unexpected(bound.error());
    impl->core_ = std::make_unique<membership::Core>(coreOptions(options, impl->socket_.port()));
    impl->members_ = std::make_shared<const std::vector<model::Member>>(impl->core_->members());
    auto *started = impl.get();
    started->tickTimer_ = reactor.schedule(Millis(), [started] { started->tick(); });
    return std::unique_ptr<GossipService>(new GossipService(std::move(impl)));
}

GossipService::GossipService(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

GossipService::~GossipService() = default;

void GossipService::updateSelf(model::ServingState serving, const std::string &service,
                               std::uint32_t slots, model::Revision revision)
{
    impl_->handle(membership::ServiceChanged{serving, service, slots});
    impl_->handle(membership::RevisionInForce{revision});
}

void GossipService::announceRetired(const model::RetiredBackend &retired)
{
    impl_->handle(membership::BackendRetired{retired});
}

void GossipService::addSeeds(std::vector<model::Address> addresses)
{
    impl_->handle(membership::SeedsFound{std::move(addresses)});
}

void GossipService::leave()
{
    impl_->handle(membership::LeaveRequested{});
}

std::optional<net::HttpResponse>
GossipService::handleControlRequest(const net::HttpRequest &request)
{
    const std::string_view target = request.target_;
    if (target.substr(0, target.find('?')) != statePath)
        return std::nullopt;
    if (impl_->core_->isCatchingUp())
        return net::HttpResponse{
                503, {{"Retry-After", "1"}}, "refreshing state after a pause; retry later\n"};
    auto response = impl_->stateServer_.answer(request, base::monotonicNow());
    if (response.status_ == 200) {
        ++impl_->counters_.statesServed_;
        impl_->counters_.stateBytesServed_ += response.body_.size();
    }
    return response;
}

std::shared_ptr<const std::vector<model::Member>> GossipService::members() const
{
    return impl_->members_;
}

model::Member GossipService::self() const
{
    return impl_->core_->self();
}

bool GossipService::isIsolated() const
{
    return impl_->core_->isIsolated(base::monotonicNow());
}

bool GossipService::hasJoined() const
{
    return impl_->core_->hasJoined();
}

bool GossipService::isRelay() const
{
    return impl_->core_->isRelay();
}

std::vector<std::string> GossipService::unreachableDataCentres() const
{
    return impl_->core_->unreachableDataCentres(base::monotonicNow());
}

model::Revision GossipService::highestRevision() const
{
    return impl_->core_->highestRevision();
}

std::vector<membership::RevisionSummary> GossipService::revisions() const
{
    return impl_->core_->revisions();
}

Counters GossipService::counters() const
{
    return impl_->counters_;
}

} // namespace gossip
