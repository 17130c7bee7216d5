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
 * Membership protocol over UDP and TCP: executes the commands of a membership::Core.
 *
 * The owner listens on the control port for TCP and passes requests to handleControlRequest().
 * Call member functions only on the reactor's thread; callbacks never run inside such a call.
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

    /** Updates the state of the backend server beside this daemon and the revision in force. */
    void updateSelf(model::ServingState serving, const std::string &service, std::uint32_t slots,
                    model::Revision revision);

    /** Sends the end of the backend server beside this daemon to other daemons at once. */
    void announceRetired(const model::RetiredBackend &retired);

    /** Adds control addresses of other daemons to contact. */
    void addSeeds(std::vector<model::Address> addresses);

    /** Announces the departure at once; call last, some 500 ms before the process terminates. */
    void leave();

    /** Handles GET /members; returns nullopt for all other paths. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    /** All live members, sorted by id; includes this daemon and unreachable data centres. */
    std::shared_ptr<const std::vector<model::Member>> members() const;

    /** Membership record of this daemon, with the bound port. */
    model::Member self() const;

    /** Whether other daemons are expected but none answers. */
    bool isIsolated() const;

    /** Whether the state of another daemon was received and merged. */
    bool hasJoined() const;

    /** Whether this daemon currently relays gossip between its data centre and others. */
    bool isRelay() const;

    /** Known data centres that do not answer, sorted; a hint for routing and status pages. */
    std::vector<std::string> unreachableDataCentres() const;

    /** Highest revision in force at any known daemon; see Member::revision_ in members(). */
    model::Revision highestRevision() const;

    /** Number of daemons per data centre and revision in force, as of the last count. */
    std::vector<membership::RevisionSummary> revisions() const;

    Counters counters() const;

private:
    struct Impl;
    explicit GossipService(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace gossip
