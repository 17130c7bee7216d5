#include <dock/DataTask.h>

#include <unordered_map>

#include <base/Clock.h>
#include <base/Mac.h>
#include <base/Overloaded.h>
#include <dock/AttemptCodec.h>
#include <dock/BackendApi.h>
#include <dock/CallerAnswer.h>
#include <dock/Entry.h>
#include <dock/Executor.h>
#include <dock/HeaderNames.h>
#include <dock/Recorder.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <net/ByteBudget.h>
#include <net/HttpServer.h>
#include <net/PeerClient.h>
#include <net/PeerServer.h>
#include <net/Reactor.h>
#include <retry/ContextTable.h>
#include <settings/Settings.h>

namespace dock {

namespace {

constexpr base::Millis statusInterval(1000);
constexpr base::Millis drainCheckInterval(100);

/** Messages without end are broken off within this time, which makes room again. */
constexpr base::Millis retryWithoutRoom(1000);

/** Time in which callers learn by two probes a second apart that this daemon leaves. */
constexpr base::Millis shortestDrain(2200);

} // namespace

struct DataTask::Impl
{
    /** Work that ends when the caller of an exchange hangs up. */
    using CancelFunction = std::function<void()>;
    using Cancels = std::unordered_map<net::ExchangeId, CancelFunction>;

    Impl(const settings::Settings &settings, once::Incarnation self, Outbox outbox,
         CallInterface interface)
        : settings_(settings)
        , interface_(std::move(interface))
        , outbox_(std::move(outbox))
        , budget_(settings.messageBytes())
        , contexts_(base::randomSecret())
        , client_(reactor_, settings.maxBodyBytes_, &budget_)
        , executor_(
                  reactor_, settings, self, contexts_, budget_, interface_,
                  [this](const BackendServer &backend) { outbox_(BackendStateChanged{backend}); },
                  [this](const std::string &token) { contextEnded(token); },
                  [this](const std::string &token) { contextCancelled(token); })
        , entry_(reactor_, settings, self, client_, executor_, contexts_, interface_)
        , backendApi_(executor_, entry_, settings.dataAddress_.host_)
    {}

    base::Result<void> listen();
    void onCallerRequest(net::ExchangeId id, net::HttpRequest request);
    void onPeerRequest(net::ExchangeId id, net::HttpRequest request);
    void onAttempt(net::ExchangeId id, net::HttpRequest request);
    void onForwarded(net::ExchangeId id, net::HttpRequest request);
    void contextEnded(const std::string &token);
    void contextCancelled(const std::string &token);
    void handle(const ToData &message);
    void beginDrain();
    void checkDrain();
    net::HttpResponse refusalWithoutRoom() const;
    void reportMemory();
    void sendStatus();

    const settings::Settings &settings_;
    const CallInterface interface_;
    Outbox outbox_;
    net::ByteBudget budget_; ///< before the reactor, whose last turn may end connections
    net::Reactor reactor_;
    retry::ContextTable contexts_;
    net::PeerClient client_;
    Executor executor_;
    Entry entry_;
    BackendApi backendApi_;
    Cancels callerCancels_;
    Cancels peerCancels_;
    std::unique_ptr<net::HttpServer> dataServer_;
    std::unique_ptr<net::PeerServer> peerServer_;
    base::Millis drainBegan_;
    bool isDraining_ = false;
    bool isExecutorDraining_ = false;
    std::uint64_t reportedRefusals_ = 0; ///< of the budget, by the log
};

base::Result<void> DataTask::Impl::listen()
{
    const auto cancelIn = [](Cancels &cancels) {
        return [&cancels](net::ExchangeId id) {
            if (auto node = cancels.extract(id); !node.empty() && node.mapped())
                node.mapped()();
        };
    };
    net::HttpServerOptions options{.listen_ = settings_.dataAddress_,
                                   .maxBodyBytes_ = settings_.maxBodyBytes_,
                                   .maxConnections_ = settings_.maxConnections_,
                                   .budget_ = &budget_,
                                   .overBudgetResponse_ = refusalWithoutRoom()};
    auto dataServer = net::HttpServer::start(
            reactor_, options,
            [this](net::ExchangeId id, net::HttpRequest request) {
                onCallerRequest(id, std::move(request));
            },
            cancelIn(callerCancels_));
    if (!dataServer)
        return tl::unexpected(dataServer.error());
    dataServer_ = std::move(*dataServer);
    options.listen_ = settings_.peerAddress_;
    auto peerServer = net::PeerServer::start(
            reactor_, options,
            [this](net::ExchangeId id, net::HttpRequest request) {
                onPeerRequest(id, std::move(request));
            },
            cancelIn(peerCancels_));
    if (!peerServer)
        return tl::unexpected(peerServer.error());
    peerServer_ = std::move(*peerServer);
    return {};
}

void DataTask::Impl::onCallerRequest(net::ExchangeId id, net::HttpRequest request)
{
    if (!interface_.hasRoutes()) {
        if (auto answer = backendApi_.answer(request)) {
            dataServer_->respond(id, std::move(*answer));
            return;
        }
    }
    const auto entryId = entry_.receive(std::move(request), RequestSource::Caller,
                                        [this, id](net::HttpResponse response) {
                                            callerCancels_.erase(id);
                                            dataServer_->respond(id, std::move(response));
                                        });
    if (entryId != 0)
        callerCancels_[id] = [this, entryId] {
            entry_.cancel(entryId);
        };
}

void DataTask::Impl::onPeerRequest(net::ExchangeId id, net::HttpRequest request)
{
    if (net::headerValue(request.headers_, header::kind) == "home")
        onForwarded(id, std::move(request));
    else
        onAttempt(id, std::move(request));
}

void DataTask::Impl::onForwarded(net::ExchangeId id, net::HttpRequest request)
{
    const auto entryId = entry_.receive(std::move(request), RequestSource::Daemon,
                                        [this, id](net::HttpResponse response) {
                                            peerCancels_.erase(id);
                                            peerServer_->respond(id, std::move(response));
                                        });
    if (entryId != 0)
        peerCancels_[id] = [this, entryId] {
            entry_.cancel(entryId);
        };
}

void DataTask::Impl::onAttempt(net::ExchangeId id, net::HttpRequest request)
{
    auto attempt = decodeAttempt(std::move(request));
    if (!attempt) {
        peerServer_->respond(
                id, {.status_ = statusBadRequest, .body_ = attempt.error().message_ + "\n"});
        return;
    }
    // The answer may come before accept() returns.
    peerCancels_[id] = {};
    const auto attemptId =
            executor_.accept(std::move(*attempt), [this, id](const AttemptAnswer &answer) {
                peerCancels_.erase(id);
                peerServer_->respond(id, encodeAnswer(answer));
            });
    if (const auto found = peerCancels_.find(id); found != peerCancels_.end())
        found->second = [this, attemptId] {
            executor_.cancel(attemptId);
        };
}

void DataTask::Impl::contextEnded(const std::string &token)
{
    // Posted, as the entry may be the one that ended the run.
    reactor_.post([this, token] { entry_.contextEnded(token); });
}

void DataTask::Impl::contextCancelled(const std::string &token)
{
    reactor_.post([this, token] { entry_.contextCancelled(token); });
}

void DataTask::Impl::handle(const ToData &message)
{
    std::visit(base::Overloaded{
                       [this](const ConfigInForce &change) {
                           entry_.configure(change.config_);
                           executor_.configure(*change.config_);
                       },
                       [this](const MembersKnown &change) { entry_.setMembers(change.members_); },
                       [this](const IncarnationChanged &change) {
                           entry_.setIncarnation(change.self_);
                           executor_.setIncarnation(change.self_);
                       },
                       [this](const BeginDrain &) { beginDrain(); },
                       [this](const BackendAnnounced &said) { executor_.announce(said.backend_); },
                       [this](const BackendLeaving &) { executor_.backendLeft(); },
               },
               message);
}

void DataTask::Impl::beginDrain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    drainBegan_ = base::monotonicNow();
    events::log(events::drainBegan, "running=" + std::to_string(executor_.activeCount()));
    dataServer_->closeAfterResponses();
    entry_.drain();
    checkDrain();
}

void DataTask::Impl::checkDrain()
{
    const auto elapsed = base::monotonicNow() - drainBegan_;
    // What comes later could still be at work when the process has to end.
    if (elapsed >= shortestDrain)
        entry_.refuseRootRequests();
    // The backend server serves others while this daemon waits for the requests of its callers.
    const bool hasHandedOver = elapsed >= settings_.drainHandover_
                               || (elapsed >= shortestDrain && entry_.activeRootCount() == 0);
    if (hasHandedOver && !std::exchange(isExecutorDraining_, true))
        executor_.drain();
    const bool isIdle = hasHandedOver && executor_.activeCount() == 0 && entry_.activeCount() == 0;
    if (isIdle && elapsed >= shortestDrain) {
        events::log(events::drainEnded, "after=" + std::to_string(elapsed.count()) + "ms");
        entry_.close();
        outbox_(DrainEnded{});
        return;
    }
    if (elapsed >= std::max(shortestDrain, settings_.drainTimeout_)) {
        events::log(events::drainTimedOut, "running=" + std::to_string(executor_.activeCount()));
        entry_.close();
        outbox_(DrainEnded{});
        return;
    }
    reactor_.schedule(drainCheckInterval, [this] { checkDrain(); });
}

net::HttpResponse DataTask::Impl::refusalWithoutRoom() const
{
    return refusal(statusUnavailable, "no-memory", retryWithoutRoom, {},
                   answerFormatOf(interface_).retryAfter_);
}

/** Logs once a second what the budget refused, however often that was. */
void DataTask::Impl::reportMemory()
{
    if (budget_.refusalCount() == reportedRefusals_)
        return;
    events::log(events::memoryShort,
                "messagesWithoutRoom=" + std::to_string(budget_.refusalCount() - reportedRefusals_)
                        + " held=" + std::to_string(budget_.reservedBytes())
                        + " limit=" + std::to_string(budget_.limitBytes()));
    reportedRefusals_ = budget_.refusalCount();
}

void DataTask::Impl::sendStatus()
{
    entry_.prune();
    reportMemory();
    outbox_(DataStatus{
            .backend_ = executor_.backend(),
            .openRequests_ = entry_.activeCount(),
            .activeRuns_ = executor_.activeCount(),
            .limit_ = executor_.limit(),
            .level_ = executor_.level(),
            .failures_ = entry_.recorder().failures(),
            .delegatedAgain_ = entry_.redelegations(),
            .backendFailures_ = executor_.backendFailures(),
            .memory_ = {budget_.limitBytes(), budget_.reservedBytes(), budget_.refusalCount()},
            .metrics_ = entry_.recorder().snapshot()});
    reactor_.schedule(statusInterval, [this] { sendStatus(); });
}

DataTask::DataTask(const settings::Settings &settings, once::Incarnation self, Outbox outbox,
                   CallInterface interface)
    : impl_(std::make_unique<Impl>(settings, std::move(self), std::move(outbox),
                                   std::move(interface)))
{}

DataTask::~DataTask()
{
    stop();
}

base::Result<void> DataTask::start()
{
    if (auto listening = impl_->listen(); !listening)
        return listening;
    impl_->sendStatus();
    activate();
    return {};
}

void DataTask::deliver(ToData message)
{
    impl_->reactor_.post(
            [impl = impl_.get(), message = std::move(message)] { impl->handle(message); });
}

void DataTask::stop()
{
    impl_->reactor_.stop();
    wait();
}

int DataTask::svc()
{
    impl_->reactor_.run();
    return 0;
}

} // namespace dock
