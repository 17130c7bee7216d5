#include <follow/FollowService.h>

#include <algorithm>
#include <deque>
#include <utility>

#include <base/Clock.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <follow/Core.h>
#include <logclient/KeyedLog.h>
#include <net/Reactor.h>

namespace follow {

struct FollowService::Impl : std::enable_shared_from_this<FollowService::Impl>
{
    Impl(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic, const Options &options,
         PeerAccess peers, RecordsHandler onRecords, EvidenceHandler onEvidence)
        : reactor_(reactor)
        , log_(log)
        , topic_(std::move(topic))
        , core_(options)
        , peers_(std::move(peers))
        , onRecords_(std::move(onRecords))
        , onEvidence_(std::move(onEvidence))
    {}
    ~Impl() { reactor_.cancel(timer_); }

    void dispatch(Event event);
    void execute(const ReadNewest &command);
    void execute(const ReadFrom &command);
    void execute(const Inquire &command);
    void execute(const FetchConfig &command) { peers_.fetchConfig_(command); }
    void execute(const WakeAt &command);
    void execute(const DeliverRecords &command)
    {
        dispatch(RecordsHandled{onRecords_(command.records_)});
    }
    void execute(const LogStateChanged &change);
    void execute(const DutyChanged &change);
    void execute(const EvidenceAdvanced &evidence) { onEvidence_(evidence.confirmedAt_); }
    logclient::KeyedDone completionHandler(ReadId read);

    net::Reactor &reactor_;
    logclient::KeyedLog &log_;
    const std::string topic_;
    Core core_;
    PeerAccess peers_;
    RecordsHandler onRecords_;
    EvidenceHandler onEvidence_;
    std::deque<Event> events_;
    bool isDispatching_ = false;
    net::TimerId timer_ = 0;
};

/** Events that occur while commands are executed wait until all of those are done. */
void FollowService::Impl::dispatch(Event event)
{
    events_.push_back(std::move(event));
    if (std::exchange(isDispatching_, true))
        return;
    for (; !events_.empty(); events_.pop_front()) {
        for (const auto &command : core_.handle(events_.front(), base::elapsedNow()))
            std::visit([this](const auto &alternative) { execute(alternative); }, command);
    }
    isDispatching_ = false;
}

logclient::KeyedDone FollowService::Impl::completionHandler(ReadId read)
{
    return [weak = weak_from_this(), read](logclient::KeyedResult result) {
        if (const auto self = weak.lock())
            self->dispatch(ReadEnded{read, std::move(result)});
    };
}

void FollowService::Impl::execute(const ReadNewest &command)
{
    log_.readNewest(topic_, command.after_, completionHandler(command.read_));
}

void FollowService::Impl::execute(const ReadFrom &command)
{
    log_.readFrom(topic_, command.offset_, command.wait_, completionHandler(command.read_));
}

void FollowService::Impl::execute(const Inquire &command)
{
    peers_.inquire_(command.to_, [weak = weak_from_this(), inquiry = command.inquiry_](
                                         std::optional<Confirmation> confirmation) {
        if (const auto self = weak.lock())
            self->dispatch(InquiryEnded{inquiry, confirmation});
    });
}

void FollowService::Impl::execute(const WakeAt &command)
{
    reactor_.cancel(timer_);
    const auto delay = std::max(base::Millis(), command.time_ - base::elapsedNow());
    timer_ = reactor_.schedule(delay, [this] {
        timer_ = 0;
        dispatch(TimerExpired{});
    });
}

void FollowService::Impl::execute(const LogStateChanged &change)
{
    if (change.isReachable_)
        events::log(events::logRegained, "topic=" + topic_);
    else
        events::log(events::logLost, "topic=" + topic_ + " cause=\"" + change.detail_ + "\"");
}

void FollowService::Impl::execute(const DutyChanged &change)
{
    auto detail = std::string("topic=") + topic_ + " reads=" + (change.isReading_ ? "yes" : "no")
                  + " cause=";
    if (!change.isReading_)
        detail += "confirmed-by-others";
    else
        detail += change.isElected_ ? "elected" : "not-confirmed";
    if (change.evidenceAge_ < base::Millis::max())
        detail += " evidenceAge=" + std::to_string(change.evidenceAge_.count()) + "ms";
    events::log(events::logReaderChanged, detail);
}

FollowService::FollowService(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic,
                             const Options &options, PeerAccess peers, RecordsHandler onRecords,
                             EvidenceHandler onEvidence)
    : impl_(std::make_shared<Impl>(reactor, log, std::move(topic), options, std::move(peers),
                                   std::move(onRecords), std::move(onEvidence)))
{
    reactor.post([weak = impl_->weak_from_this()] {
        if (const auto self = weak.lock())
            self->dispatch(Started{});
    });
}

FollowService::~FollowService() = default;

void FollowService::catchUp()
{
    impl_->dispatch(PeerAhead{});
}

void FollowService::setPeers(Peers peers)
{
    impl_->dispatch(PeersChanged{std::move(peers)});
}

void FollowService::setRevision(model::Revision revision)
{
    impl_->dispatch(RevisionInForce{revision});
}

std::optional<Confirmation> FollowService::confirmation() const
{
    return impl_->core_.confirmation(base::elapsedNow());
}

} // namespace follow
