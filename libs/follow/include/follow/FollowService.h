#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <follow/Confirmation.h>
#include <follow/Options.h>
#include <follow/PeerAccess.h>
#include <follow/Peers.h>
#include <logclient/KeyedRecord.h>

namespace logclient {
class KeyedLog;
}
namespace net {
class Reactor;
}

namespace follow {

/**
 * Executes the commands of a Core on one topic of a keyed log, which must outlive it.
 *
 * To be called on the reactor's thread only; the handlers never run inside a call, except the
 * functions of PeerAccess.
 */
class FollowService
{
public:
    /** Returns whether the newest configuration is in force after these records. */
    using RecordsHandler = std::function<bool(const std::vector<logclient::KeyedRecord> &)>;

    /** Gets the time on base::elapsedNow() by which no newer revision had been written. */
    using EvidenceHandler = std::function<void(base::Millis)>;

    FollowService(net::Reactor &reactor, logclient::KeyedLog &log, std::string topic,
                  const Options &options, PeerAccess peers, RecordsHandler onRecords,
                  EvidenceHandler onEvidence);
    ~FollowService();
    FollowService(const FollowService &) = delete;
    FollowService &operator=(const FollowService &) = delete;

    /** Starts over at once, on another connection, as another daemon has a newer record. */
    void catchUp();

    /** Replaces the other daemons of the data centre. */
    void setPeers(Peers peers);

    /** Sets the revision in force. */
    void setRevision(model::Revision revision);

    /** The answer to a daemon that asks; nothing if this daemon has no evidence. */
    std::optional<Confirmation> confirmation() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace follow
