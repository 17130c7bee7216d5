#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <base/Random.h>
#include <model/Member.h>

namespace notesync::details {

/**
 * Elects the log readers and their rank as snapshot writers by rendezvous hashing over the live
 * members. While member lists differ between daemons there are more readers, which is harmless.
 */
class Election
{
public:
    Election(std::string selfId, std::string dataCentre, std::size_t readersPerDataCentre);

    /** Sets the live members, and repeats the election if their ids or data centres changed. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /** Whether there is no other live member. */
    bool isAlone() const { return peers_.empty(); }

    /** Whether this daemon reads the log for its data centre. */
    bool isReader() const { return isReader_; }

    /** Rank of this daemon as snapshot writer among all readers; 0 writes first. */
    std::size_t writerRank() const { return writerRank_; }

    /** Highest revision of the other members; 0 without any. */
    model::Revision highestPeerRevision() const { return highestPeerRevision_; }

    /** The other member with this id, or null. */
    const model::Member *find(const std::string &id) const;

    /** A random other member; null when there is none. */
    const model::Member *randomPeer(base::Random &random) const;

    /** A random peer with a higher revision, preferably in this data centre; null without any. */
    const model::Member *peerAbove(model::Revision revision, base::Random &random) const;

    /** Random peers: up to `count` in this data centre and one in another. */
    std::vector<const model::Member *> samplePeers(std::size_t count, base::Random &random) const;

private:
    void electReaders();
    std::vector<std::string> electedReaders() const;

    const std::string selfId_;
    const std::string dataCentre_;
    const std::size_t readersPerDataCentre_;
    std::shared_ptr<const std::vector<model::Member>> members_; ///< owns what peers_ points to
    std::vector<const model::Member *> peers_;
    model::Revision highestPeerRevision_ = 0;
    bool isReader_ = true;
    std::size_t writerRank_ = 0;
};

} // namespace notesync::details
