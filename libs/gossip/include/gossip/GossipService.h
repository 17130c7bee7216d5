#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/Error.h>
#include <gossip/Callbacks.h>
#include <gossip/Counters.h>
#include <gossip/Options.h>
#include <membership/RevisionSummary.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace net {
class Reactor;
}

namespace gossip {

/**
 * Membership over UDP and TCP: carries out the commands of a membership::Core.
 *
 * The owner listens on the control port for TCP and passes requests to handleControlRequest().
 * All members are for the reactor's thread; callbacks never run inside a call.
 */
class GossipService
{
public:
    /** Binds the UDP socket; fails with "bind-failed" or "bad-member". */
    static base::Result<std::unique_ptr<GossipService>> start(net::Reactor &reactor,
                                                              Options options, Callbacks callbacks);
    ~GossipService();
    GossipService(const GossipService &) = delete;
    GossipService &operator=(const GossipService &) = delete;

    /** The state of the backend server beside this daemon, or the revision in force, changed. */
    void updateSelf(model::ServingState serving, const std::string &service, std::uint32_t slots,
                    model::Revision revision);

    /** Further control addresses at which daemons may be found. */
    void addSeeds(std::vector<model::Address> addresses);

    /** Says good-bye at once; to be called as the last step, some 500 ms before the process ends.
     */
    void leave();

    /** Answers GET /members; empty for other paths, which are not for this service. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    /** All live members with the own one, sorted by id, also those of unreachable data centres. */
    std::shared_ptr<const std::vector<model::Member>> members() const;

    /** This daemon as announced, with the port that was bound. */
    model::Member self() const;

    /** Whether other daemons are expected and none answers. */
    bool isIsolated() const;

    /** Whether the state of another daemon was taken over. */
    bool hasJoined() const;

    /** Whether this daemon speaks for its data centre at present. */
    bool isRelay() const;

    /** Data centres that are listed and do not answer, sorted: a hint for routing and status. */
    std::vector<std::string> unreachableDataCentres() const;

    /** Highest revision in force at any daemon heard of; members() tells who has it. */
    model::Revision highestRevision() const;

    /** For each data centre, how many daemons have which revision in force, as last counted. */
    std::vector<membership::RevisionSummary> revisions() const;

    Counters counters() const;

private:
    struct Impl;
    explicit GossipService(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace gossip
