#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <model/Address.h>
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
 * To be called on the reactor's thread only; the log must outlive this object.
 */
class KeyedRendezvous
{
public:
    using SeedsHandler = std::function<void(std::vector<model::Address>)>;

    KeyedRendezvous(net::Reactor &reactor, logclient::KeyedLog &log, KeyedOptions options,
                    SeedsHandler onSeeds);
    ~KeyedRendezvous();
    KeyedRendezvous(const KeyedRendezvous &) = delete;
    KeyedRendezvous &operator=(const KeyedRendezvous &) = delete;

    /** Reads the topic again, as no other daemon is reachable. */
    void requestSeeds();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace rendezvous
