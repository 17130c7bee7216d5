#include <rendezvous/KeyedRendezvous.h>

#include <optional>

#include <base/Overloaded.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <logclient/Backoff.h>
#include <logclient/KeyedLog.h>
#include <net/Reactor.h>
#include <rendezvous/RetiredRecord.h>

namespace rendezvous {

struct KeyedRendezvous::Impl : std::enable_shared_from_this<KeyedRendezvous::Impl>
{
    Impl(net::Reactor &reactor, logclient::KeyedLog &log, KeyedOptions options,
         SeedsHandler onSeeds, RetiredHandler onRetired)
        : reactor_(reactor)
        , log_(log)
        , options_(std::move(options))
        , onSeeds_(std::move(onSeeds))
        , onRetired_(std::move(onRetired))
        , backoff_(options_.firstRetryDelay_, options_.maxRetryDelay_, options_.seed_)
        , retiredBackoff_(options_.firstRetryDelay_, options_.maxRetryDelay_, options_.seed_ + 1)
    {}

    void write();
    void read(const std::string &after);
    void handlePage(const logclient::KeyedPage &page);
    void handleRetired(const logclient::KeyedRecord &record);
    void writeRetired();
    void retry(const char *operation, const logclient::LogError &error, logclient::Backoff &backoff,
               void (Impl::*repeat)());
    void readAll() { read({}); }

    net::Reactor &reactor_;
    logclient::KeyedLog &log_;
    const KeyedOptions options_;
    SeedsHandler onSeeds_;
    RetiredHandler onRetired_;
    logclient::Backoff backoff_;
    logclient::Backoff retiredBackoff_;
    bool isBusy_ = false;                          ///< a write, a read or a retry is outstanding
    std::optional<model::RetiredBackend> retired_; ///< stored, or being stored
    bool isWritingRetired_ = false;
};

// The write is idempotent, so it is also repeated when its result is unknown.
void KeyedRendezvous::Impl::write()
{
    isBusy_ = true;
    log_.put(options_.topic_, options_.self_.id_, options_.self_.text(),
             [weak = weak_from_this()](const logclient::AppendResult &result) {
                 const auto self = weak.lock();
                 if (!self)
                     return;
                 if (!result) {
                     self->retry("write", result.error(), self->backoff_, &Impl::write);
                     return;
                 }
                 self->backoff_.reset();
                 self->readAll();
             });
}

void KeyedRendezvous::Impl::read(const std::string &after)
{
    isBusy_ = true;
    log_.readNewest(options_.topic_, after,
                    [weak = weak_from_this()](const logclient::KeyedResult &result) {
                        const auto self = weak.lock();
                        if (!self)
                            return;
                        if (!result) {
                            self->retry("read", result.error(), self->backoff_, &Impl::readAll);
                            return;
                        }
                        self->backoff_.reset();
                        self->handlePage(*result);
                    });
}

void KeyedRendezvous::Impl::handlePage(const logclient::KeyedPage &page)
{
    std::vector<model::Address> seeds;
    for (const auto &record : page.records_) {
        if (RetiredRecord::isKey(record.key_)) {
            handleRetired(record);
            continue;
        }
        auto seed = SeedRecord::parse(record.value_);
        if (!seed) {
            events::log(events::meetingFailed, "step=parse key=" + record.key_ + " cause=\""
                                                       + seed.error().message_ + "\"");
            continue;
        }
        if (seed->id_ != options_.self_.id_)
            seeds.push_back(seed->controlAddress_);
    }
    if (!seeds.empty())
        onSeeds_(std::move(seeds));
    if (page.hasMore_ && !page.records_.empty())
        read(page.records_.back().key_);
    else
        isBusy_ = false;
}

void KeyedRendezvous::Impl::handleRetired(const logclient::KeyedRecord &record)
{
    if (record.key_ != RetiredRecord::keyOf(options_.self_.id_))
        return;
    const auto retired = RetiredRecord::parse(record.value_);
    if (!retired) {
        events::log(events::meetingFailed, "step=parse key=" + record.key_ + " cause=\""
                                                   + retired.error().message_ + "\"");
        return;
    }
    if (!retired_)
        retired_ = *retired;
    onRetired_(*retired);
}

void KeyedRendezvous::Impl::writeRetired()
{
    isWritingRetired_ = true;
    const auto written = *retired_;
    log_.put(options_.topic_, RetiredRecord::keyOf(options_.self_.id_),
             RetiredRecord::text(written),
             [weak = weak_from_this(), written](const logclient::AppendResult &result) {
                 const auto self = weak.lock();
                 if (!self)
                     return;
                 if (!result) {
                     self->retry("write-retired", result.error(), self->retiredBackoff_,
                                 &Impl::writeRetired);
                     return;
                 }
                 self->retiredBackoff_.reset();
                 self->isWritingRetired_ = false;
                 if (self->retired_ != written)
                     self->writeRetired();
             });
}

void KeyedRendezvous::Impl::retry(const char *operation, const logclient::LogError &error,
                                  logclient::Backoff &backoff, void (Impl::*repeat)())
{
    events::log(events::meetingFailed,
                std::string("step=") + operation + " cause=\"" + logclient::text(error) + "\"");
    reactor_.schedule(backoff.nextDelay(), [weak = weak_from_this(), repeat] {
        if (const auto self = weak.lock())
            (self.get()->*repeat)();
    });
}

KeyedRendezvous::KeyedRendezvous(net::Reactor &reactor, logclient::KeyedLog &log,
                                 KeyedOptions options, SeedsHandler onSeeds,
                                 RetiredHandler onRetired)
    : impl_(std::make_shared<Impl>(reactor, log, std::move(options), std::move(onSeeds),
                                   std::move(onRetired)))
{
    reactor.post([weak = impl_->weak_from_this()] {
        if (const auto self = weak.lock())
            self->write();
    });
}

KeyedRendezvous::~KeyedRendezvous() = default;

void KeyedRendezvous::requestSeeds()
{
    if (!impl_->isBusy_)
        impl_->readAll();
}

void KeyedRendezvous::storeRetired(const model::RetiredBackend &retired)
{
    const auto &stored = impl_->retired_;
    const bool isStored = stored && stored->instanceHash_ == retired.instanceHash_
                          && stored->startedAt_ == retired.startedAt_;
    if (isStored)
        return;
    impl_->retired_ = retired;
    if (!impl_->isWritingRetired_)
        impl_->writeRetired();
}

} // namespace rendezvous
