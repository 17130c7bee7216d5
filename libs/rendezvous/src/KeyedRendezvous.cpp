#include <rendezvous/KeyedRendezvous.h>

#include <base/Overloaded.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <logclient/Backoff.h>
#include <logclient/KeyedLog.h>
#include <net/Reactor.h>

namespace rendezvous {

struct KeyedRendezvous::Impl : std::enable_shared_from_this<KeyedRendezvous::Impl>
{
    Impl(net::Reactor &reactor, logclient::KeyedLog &log, KeyedOptions options,
         SeedsHandler onSeeds)
        : reactor_(reactor)
        , log_(log)
        , options_(std::move(options))
        , onSeeds_(std::move(onSeeds))
        , backoff_(options_.firstRetryDelay_, options_.maxRetryDelay_, options_.seed_)
    {}

    void write();
    void read(const std::string &after);
    void handlePage(const logclient::KeyedPage &page);
    void retry(const char *operation, const logclient::LogError &error, void (Impl::*repeat)());
    void readAll() { read({}); }

    net::Reactor &reactor_;
    logclient::KeyedLog &log_;
    const KeyedOptions options_;
    SeedsHandler onSeeds_;
    logclient::Backoff backoff_;
    bool isBusy_ = false; ///< a write, a read or a retry is outstanding
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
                     self->retry("write", result.error(), &Impl::write);
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
                            self->retry("read", result.error(), &Impl::readAll);
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

void KeyedRendezvous::Impl::retry(const char *operation, const logclient::LogError &error,
                                  void (Impl::*repeat)())
{
    events::log(events::meetingFailed,
                std::string("step=") + operation + " cause=\"" + logclient::text(error) + "\"");
    reactor_.schedule(backoff_.nextDelay(), [weak = weak_from_this(), repeat] {
        if (const auto self = weak.lock())
            (self.get()->*repeat)();
    });
}

KeyedRendezvous::KeyedRendezvous(net::Reactor &reactor, logclient::KeyedLog &log,
                                 KeyedOptions options, SeedsHandler onSeeds)
    : impl_(std::make_shared<Impl>(reactor, log, std::move(options), std::move(onSeeds)))
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

} // namespace rendezvous
