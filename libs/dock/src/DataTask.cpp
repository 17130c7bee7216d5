#include <dock/DataTask.h>

#include <optional>
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
#include <drain/Core.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <net/ByteBudget.h>
#include <net/HttpServer.h>
#include <net/PeerClient.h>
#include <net/PeerServer.h>
#include <net/Reactor.h>
#include <retry/ContextTable.h>
#include <settings/Settings.h>

#include "details/Allowances.h"
#include "details/DrainLog.h"

namespace dock {

namespace {

constexpr base::Millis statusInterval(1000);
constexpr base::Millis drainCheckInterval(100);

/** Messages that do not end are aborted within this time, which frees memory. */
constexpr base::Millis noMemoryRetryAfter(1000);

} // namespace

struct DataTask::Impl
{
    /** Cancels the request of an exchange whose caller has closed the connection. */
    using CancelFunction = std::function<void()>;
    using Cancels = std::unordered_map<net::ExchangeId, CancelFunction>;

    Impl(const settings::Settings &settings, once::Incarnation self, SendFunction sendMessage,
         CallInterface interface)
        : settings_(settings)
        , interface_(std::move(interface))
        , sendMessage_(std::move(sendMessage))
        , budget_(settings.messageBytes())
        , contexts_(base::randomSecret())
        , client_(reactor_, settings.maxBodyBytes_, &budget_)
        , executor_(
                  reactor_, settings, self, contexts_, budget_, interface_,
                  [this](const BackendServer &backend) {
                      sendMessage_(BackendStateChanged{backend});
                  },
                  [this](const std::string &token) { contextEnded(token); },
                  [this](const std::string &token) { contextCancelled(token); })
        , allowances_(reactor_, client_, settings, self, sendMessage_)
        , entry_(reactor_, settings, self, client_, executor_, contexts_, interface_, allowances_)
        , backendApi_(executor_, entry_, settings.dataAddress_.host_)
    {}

    base::Result<void> listen();
    void onCallerRequest(net::ExchangeId id, net::HttpRequest request);
    void onPeerRequest(net::ExchangeId id, net::HttpRequest request);
    void onAttempt(net::ExchangeId id, net::HttpRequest request);
    void onForwarded(net::ExchangeId id, net::HttpRequest request);
    void contextEnded(const std::string &token);
    void contextCancelled(const std::string &token);
    void handle(const DataTaskMessage &message);
    void beginDrain();
    void checkDrain();
    void perform(drain::Step step);
    drain::OpenWork openWork() const;
    std::string openWorkText() const;
    net::HttpResponse noMemoryRefusal() const;
    void logRefusedMessages();
    void sendStatus();

    const settings::Settings &settings_;
    const CallInterface interface_;
    SendFunction sendMessage_;
    net::ByteBudget budget_; ///< outlives the reactor, whose last iteration may close connections
    net::Reactor reactor_;
    retry::ContextTable contexts_;
    net::PeerClient client_;
    Executor executor_;
    details::Allowances allowances_;
    Entry entry_;
    BackendApi backendApi_;
    Cancels callerCancels_;
    Cancels peerCancels_;
    std::unique_ptr<net::HttpServer> dataServer_;
    std::unique_ptr<net::PeerServer> peerServer_;
    base::Millis drainStart_;
    std::optional<drain::Core> drain_; ///< set while the daemon drains
    std::uint64_t loggedRefusals_ = 0; ///< refusals of the budget that have been logged
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
                                   .overBudgetResponse_ = noMemoryRefusal()};
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
    const auto kind = net::headerValue(request.headers_, header::kind);
    if (kind == "home")
        onForwarded(id, std::move(request));
    else if (kind == details::Allowances::askKind)
        peerServer_->respond(id, allowances_.onAsk(request.body_));
    else if (kind == details::Allowances::handOverKind)
        peerServer_->respond(id, allowances_.onHandOver(request.body_));
    else if (kind == details::Allowances::tenureKind)
        peerServer_->respond(id, allowances_.onAnnounced(request));
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
    // Posted, as the entry itself may have ended the call.
    reactor_.post([this, token] { entry_.contextEnded(token); });
}

void DataTask::Impl::contextCancelled(const std::string &token)
{
    reactor_.post([this, token] { entry_.contextCancelled(token); });
}

void DataTask::Impl::handle(const DataTaskMessage &message)
{
    std::visit(
            base::Overloaded{
                    [this](const ConfigUpdated &change) {
                        entry_.configure(change.config_);
                        executor_.configure(*change.config_);
                        allowances_.configure(*change.config_);
                    },
                    [this](const ConfigConfirmed &evidence) {
                        entry_.confirmConfig(evidence.confirmedAt_);
                    },
                    [this](const MembersUpdated &change) {
                        entry_.setMembers(change.members_);
                        allowances_.setMembers(change.members_);
                    },
                    [this](const IncarnationChanged &change) {
                        entry_.setIncarnation(change.self_);
                        executor_.setIncarnation(change.self_);
                        allowances_.setIncarnation(change.self_);
                    },
                    [this](const BeginDrain &) { beginDrain(); },
                    [this](const BackendAnnounced &change) { executor_.announce(change.backend_); },
                    [this](const BackendDraining &) { executor_.backendLeft(); },
                    [this](const TenureChanged &change) { allowances_.onTenure(change); },
                    [this](const AuthorityReleased &released) { allowances_.onReleased(released); },
                    [this](const AllotterSeen &seen) { allowances_.onSeen(seen.group_, seen.id_); },
            },
            message);
}

void DataTask::Impl::beginDrain()
{
    if (drain_)
        return;
    drainStart_ = base::monotonicNow();
    drain_.emplace(drain::Schedule{settings_.drainTimeout_, settings_.drainHandover_}, drainStart_);
    events::log(events::drainBegan, openWorkText());
    allowances_.drain();
    dataServer_->closeAfterResponses();
    const auto accepts = [this](const drain::Expectation &request) {
        return drain_->accepts(request, base::monotonicNow());
    };
    entry_.drain(accepts);
    executor_.acceptOnly(accepts);
    checkDrain();
}

void DataTask::Impl::checkDrain()
{
    const auto steps = drain_->advance(openWork(), base::monotonicNow());
    for (const auto step : steps)
        perform(step);
    if (steps.empty() || steps.back() != drain::Step::End)
        reactor_.schedule(drainCheckInterval, [this] { checkDrain(); });
}

void DataTask::Impl::perform(drain::Step step)
{
    switch (step) {
    case drain::Step::RefuseCallers:
        entry_.refuseRootRequests();
        return;
    case drain::Step::HandOver:
        executor_.drain();
        return;
    case drain::Step::TakeBack:
        entry_.takeBack();
        executor_.returnQueue();
        return;
    case drain::Step::AnswerRest:
        events::log(events::drainTimedOut, openWorkText());
        details::logRequestsLeft(entry_.openRequests(), base::monotonicNow());
        entry_.close();
        entry_.answerOpenRequests();
        return;
    case drain::Step::End:
        events::log(events::drainEnded, openWorkText());
        entry_.close();
        sendMessage_(DrainEnded{});
        return;
    }
}

drain::OpenWork DataTask::Impl::openWork() const
{
    const auto callerRequests = entry_.activeRootCount();
    return {.callerRequests_ = callerRequests,
            .backendCalls_ = entry_.activeCount() - callerRequests,
            .runs_ = executor_.activeCount(),
            .undeliveredAnswers_ = dataServer_->undeliveredCount() + peerServer_->unsentCount()};
}

std::string DataTask::Impl::openWorkText() const
{
    const auto work = openWork();
    return "after=" + std::to_string((base::monotonicNow() - drainStart_).count()) + "ms callers="
           + std::to_string(work.callerRequests_) + " calls=" + std::to_string(work.backendCalls_)
           + " running=" + std::to_string(work.runs_)
           + " undelivered=" + std::to_string(work.undeliveredAnswers_);
}

net::HttpResponse DataTask::Impl::noMemoryRefusal() const
{
    return refusal(statusUnavailable, "no-memory", noMemoryRetryAfter, {},
                   answerFormatOf(interface_).retryAfter_);
}

/** Logs the messages refused by the budget since the last call: at most one event a second. */
void DataTask::Impl::logRefusedMessages()
{
    if (budget_.refusalCount() == loggedRefusals_)
        return;
    events::log(events::memoryShort,
                "messagesWithoutRoom=" + std::to_string(budget_.refusalCount() - loggedRefusals_)
                        + " held=" + std::to_string(budget_.reservedBytes())
                        + " limit=" + std::to_string(budget_.limitBytes()));
    loggedRefusals_ = budget_.refusalCount();
}

void DataTask::Impl::sendStatus()
{
    entry_.prune();
    logRefusedMessages();
    sendMessage_(DataStatus{.backend_ = executor_.backend(),
                            .openRequests_ = entry_.activeCount(),
                            .activeRequests_ = executor_.activeCount(),
                            .concurrencyLimit_ = executor_.limit(),
                            .level_ = executor_.level(),
                            .repeats_ = executor_.repeats(),
                            .failures_ = entry_.recorder().failures(),
                            .redelegations_ = entry_.redelegations(),
                            .backendFailures_ = executor_.backendFailures(),
                            .messageMemory_ = {budget_.limitBytes(), budget_.reservedBytes(),
                                               budget_.refusalCount()},
                            .allowances_ = allowances_.status(),
                            .loadView_ = entry_.loadView(),
                            .metrics_ = entry_.recorder().snapshot()});
    reactor_.schedule(statusInterval, [this] { sendStatus(); });
}

DataTask::DataTask(const settings::Settings &settings, once::Incarnation self,
                   SendFunction sendMessage, CallInterface interface)
    : impl_(std::make_unique<Impl>(settings, std::move(self), std::move(sendMessage),
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

void DataTask::deliver(DataTaskMessage message)
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
