#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <base/Random.h>
#include <model/Member.h>

namespace notesync::details {

/**
 * Chooses the daemons that read the log and their order as snapshot writers, by rendezvous hash
 * over the live members. Views that differ give more readers for a while, which is harmless.
 */
class Election
{
public:
    Election(std::string selfId, std::string dataCentre, std::size_t readersPerDataCentre);

    /** Takes the live members, and chooses anew if there are others than before. */
    void update(std::shared_ptr<const std::vector<model::Member>> members);

    /** Whether no other daemon is known. */
    bool isAlone() const { return others_.empty(); }

    /** Whether this daemon reads the log for its data centre. */
    bool isReader() const { return isReader_; }

    /** Place of this daemon among all readers as writer of snapshots; 0 writes first. */
    std::size_t writerRank() const { return writerRank_; }

    /** Highest revision that another member tells; 0 without any. */
    model::Revision highestRevision() const { return highestRevision_; }

    /** The member with the id, or null. */
    const model::Member *find(const std::string &id) const;

    /** A random other member; null when there is none. */
    const model::Member *anyPeer(base::Random &random) const;

    /** A random member above the revision, of the own data centre if possible. */
    const model::Member *peerAbove(model::Revision revision, base::Random &random) const;

    /** Some other members: `count` of the own data centre and one elsewhere. */
    std::vector<const model::Member *> sample(std::size_t count, base::Random &random) const;

private:
    void choose();
    std::vector<std::string> allReaders() const;

    const std::string selfId_;
    const std::string dataCentre_;
    const std::size_t readersPerDataCentre_;
    std::shared_ptr<const std::vector<model::Member>> members_; ///< owns what others_ points to
    std::vector<const model::Member *> others_;
    model::Revision highestRevision_ = 0;
    bool isReader_ = true;
    std::size_t writerRank_ = 0;
};

} // namespace notesync::details
