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
 * Executes the commands of a Core on the stream "fuchsiadock-rendezvous" of the log.
 *
 * To be called on the reactor's thread only.
 */
class RendezvousService
{
public:
    using SeedsHandler = std::function<void(std::vector<model::Address>)>;

    RendezvousService(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log,
                      const Options &options, SeedsHandler onSeeds);
    ~RendezvousService();
    RendezvousService(const RendezvousService &) = delete;
    RendezvousService &operator=(const RendezvousService &) = delete;

    /** Looks for seeds, as no other daemon is reachable. */
    void requestSeeds();

    /** Updates the list of live members. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace rendezvous
