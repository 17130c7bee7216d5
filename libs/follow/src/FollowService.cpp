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

    void tell(const Event &event);
    void carryOut(const ReadNewest &order);
    void carryOut(const ReadFrom &order);
    void carryOut(const Retry &order);
    void carryOut(const Deliver &order) { onRecords_(order.records_); }
    void carryOut(const LogStateChanged &change);
    logclient::KeyedDone ending(ReadId read);

    net::Reactor &reactor_;
    logclient::KeyedLog &log_;
    const std::string topic_;
    Core core_;
    RecordsHandler onRecords_;
};

void FollowService::Impl::tell(const Event &event)
{
    for (const auto &command : core_.handle(event))
        std::visit([this](const auto &order) { carryOut(order); }, command);
}

logclient::KeyedDone FollowService::Impl::ending(ReadId read)
{
    return [weak = weak_from_this(), read](logclient::KeyedResult result) {
        if (const auto self = weak.lock())
            self->tell(ReadEnded{read, std::move(result)});
    };
}

void FollowService::Impl::carryOut(const ReadNewest &order)
{
    log_.newest(topic_, order.after_, ending(order.read_));
}

void FollowService::Impl::carryOut(const ReadFrom &order)
{
    log_.readFrom(topic_, order.offset_, order.wait_, ending(order.read_));
}

void FollowService::Impl::carryOut(const Retry &order)
{
    reactor_.schedule(order.delay_, [weak = weak_from_this(), read = order.read_] {
        if (const auto self = weak.lock())
            self->tell(RetryDue{read});
    });
}

void FollowService::Impl::carryOut(const LogStateChanged &change)
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
            self->tell(Started{});
    });
}

FollowService::~FollowService() = default;

void FollowService::catchUp()
{
    impl_->tell(BehindOthers{});
}

void FollowService::setTold(bool isTold)
{
    impl_->tell(ToldByOthers{isTold});
}

} // namespace follow
