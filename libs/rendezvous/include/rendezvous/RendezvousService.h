#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <model/Address.h>
#include <model/Member.h>
#include <rendezvous/Options.h>

namespace logclient {
class LogClient;
}
namespace net {
class Reactor;
}

namespace rendezvous {

/**
 * Carries out the commands of a Core on the stream "fuchsiadock-rendezvous" of the log.
 *
 * All members are for the reactor's thread.
 */
class RendezvousService
{
public:
    using FoundSeeds = std::function<void(std::vector<model::Address>)>;

    RendezvousService(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log,
                      const Options &options, FoundSeeds onSeeds);
    ~RendezvousService();
    RendezvousService(const RendezvousService &) = delete;
    RendezvousService &operator=(const RendezvousService &) = delete;

    /** No other daemon answers. */
    void wantSeeds();

    /** The live members changed. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace rendezvous
