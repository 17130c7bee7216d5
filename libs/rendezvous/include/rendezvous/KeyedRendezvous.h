#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <model/Address.h>
#include <model/RetiredBackend.h>
#include <rendezvous/KeyedOptions.h>

namespace logclient {
class KeyedLog;
}
namespace net {
class Reactor;
}

namespace rendezvous {

/**
 * Discovers other daemons through a keyed topic: writes this daemon's address at start-up, then
 * reads all addresses. Of any two daemons the later writer reads the record of the other, so that
 * membership connects them all.
 *
 * The topic also holds which backend server has retired beside a daemon, for its next process: the
 * other daemons remember that too, but all may be restarted at once.
 *
 * To be called on the reactor's thread only; the log must outlive this object.
 */
class KeyedRendezvous
{
public:
    using SeedsHandler = std::function<void(std::vector<model::Address>)>;
    using RetiredHandler = std::function<void(const model::RetiredBackend &)>;

    /** onRetired is called with what an earlier process of this daemon stored, if anything. */
    KeyedRendezvous(net::Reactor &reactor, logclient::KeyedLog &log, KeyedOptions options,
                    SeedsHandler onSeeds, RetiredHandler onRetired);
    ~KeyedRendezvous();
    KeyedRendezvous(const KeyedRendezvous &) = delete;
    KeyedRendezvous &operator=(const KeyedRendezvous &) = delete;

    /** Reads the topic again, as no other daemon is reachable. */
    void requestSeeds();

    /** Stores that the backend server beside this daemon has retired; once for an incarnation. */
    void storeRetired(const model::RetiredBackend &retired);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace rendezvous
