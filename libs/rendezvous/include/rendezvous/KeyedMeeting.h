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
 * Leaves a daemon's address in a keyed topic at its start, then reads those of the others. Of two
 * daemons the one that wrote later sees the other, so that membership connects them all.
 *
 * All members are for the reactor's thread; the log must outlive it.
 */
class KeyedMeeting
{
public:
    using FoundSeeds = std::function<void(std::vector<model::Address>)>;

    KeyedMeeting(net::Reactor &reactor, logclient::KeyedLog &log, KeyedOptions options,
                 FoundSeeds onSeeds);
    ~KeyedMeeting();
    KeyedMeeting(const KeyedMeeting &) = delete;
    KeyedMeeting &operator=(const KeyedMeeting &) = delete;

    /** No other daemon answers: reads the topic again. */
    void wantSeeds();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace rendezvous
