#include <follow/FollowService.h>

#include <base/Overloaded.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <follow/Core.h>
#include <logclient/KeyedLog.h>
#include <net/Reactor.h>

namespace follow {

struct FollowService::Impl : std::enable_shared_from_this<FollowService::Impl>
{
    Impl(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic, const Options &options,
         RecordsHandler onRecords)
        : reactor_(reactor)
        , log_(log)
        , topic_(std::move(topic))
        , core_(options)
        , onRecords_(std::move(onRecords))
    {}

    void dispatch(const Event &event);
    void execute(const ReadNewest &command);
    void execute(const ReadFrom &command);
    void execute(const ScheduleRead &command);
    void execute(const DeliverRecords &command) { onRecords_(command.records_); }
    void execute(const LogStateChanged &change);
    logclient::KeyedDone completionHandler(ReadId read);

    net::Reactor &reactor_;
    logclient::KeyedLog &log_;
    const std::string topic_;
    Core core_;
    RecordsHandler onRecords_;
};

void FollowService::Impl::dispatch(const Event &event)
{
    for (const auto &command : core_.handle(event))
        std::visit([this](const auto &alternative) { execute(alternative); }, command);
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

void FollowService::Impl::execute(const ScheduleRead &command)
{
    reactor_.schedule(command.delay_, [weak = weak_from_this(), read = command.read_] {
        if (const auto self = weak.lock())
            self->dispatch(ReadDue{read});
    });
}

void FollowService::Impl::execute(const LogStateChanged &change)
{
    if (change.isReachable_)
        events::log(events::logRegained, "topic=" + topic_);
    else
        events::log(events::logLost, "topic=" + topic_ + " cause=\"" + change.detail_ + "\"");
}

FollowService::FollowService(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic,
                             const Options &options, RecordsHandler onRecords)
    : impl_(std::make_shared<Impl>(reactor, log, std::move(topic), options, std::move(onRecords)))
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

void FollowService::setNotified(bool isNotified)
{
    impl_->dispatch(PeerNotifications{isNotified});
}

} // namespace follow
