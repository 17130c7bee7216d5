#pragma once

#include <map>
#include <string>
#include <vector>

#include <membership/Datagram.h>
#include <membership/Record.h>

namespace membership::details {

/** A record with its local timestamps. */
struct Entry
{
    Record record_;
    base::Millis declaredAt_;        ///< for Dead and Left, by the local clock
    base::Millis suspicionDeadline_; ///< for Suspect, in running time
    /** The member's own record lacks the retired backend server, which an earlier one had. */
    bool isRetiredInherited_ = false;
};

/** How a merged record compares to the known one. */
enum class MergeResult { Older, Same, Newer };

/** All records, indexed by data centre, with incrementally updated digests. */
class MemberTable
{
public:
    explicit MemberTable(std::size_t relaysPerDataCentre)
        : relaysPerDataCentre_(relaysPerDataCentre)
    {}

    /**
     * Replaces the known record if the given one has a higher version. A retired backend server is
     * kept, whichever of the two records has it.
     */
    MergeResult merge(Record record, base::Millis now);

    void setSuspicionDeadline(const std::string &id, base::Millis time);

    /** Raises the revision of a member; returns true if it was lower before. */
    bool raiseRevision(const std::string &id, std::uint64_t generation, model::Revision revision);

    /** Removes tombstones declared before the given time. */
    void expireBefore(base::Millis time);

    /** Removes all members but one of a data centre; of all data centres if it is empty. */
    void removeMembers(const std::string &dataCentre, const std::string &exceptId);

    const Entry *find(const std::string &id) const;

    /** The live member with the control address, or null. */
    const Entry *ownerOf(const model::Address &controlAddress) const;

    /** Live members of a data centre, sorted by id; valid until the next change. */
    const std::vector<const Entry *> &live(const std::string &dataCentre) const;

    /** The live members that act as relays of a data centre, chosen by rendezvous hashing. */
    const std::vector<const Entry *> &relays(const std::string &dataCentre) const;

    /** Data centres with live members. */
    std::vector<std::string> dataCentres() const;

    /** Hash of all live members of a data centre. */
    std::uint64_t hash(const std::string &dataCentre) const;

    Digest digest(const std::string &dataCentre) const;
    static std::size_t bucketOf(const std::string &id);

    const std::map<std::string, Entry> &entries() const { return entries_; }

private:
    struct DataCentreIndex
    {
        Digest digest_ = {};
        std::size_t liveCount_ = 0;
        mutable bool isStale_ = true;
        mutable std::vector<const Entry *> live_;
        mutable std::vector<const Entry *> relays_;
    };

    void addToIndex(const Entry &entry);
    void removeFromIndex(const Entry &entry);
    const DataCentreIndex *upToDateIndex(const std::string &name) const;
    void refresh(const std::string &name, const DataCentreIndex &dataCentre) const;

    std::size_t relaysPerDataCentre_;
    std::map<std::string, Entry> entries_;
    std::map<std::string, DataCentreIndex> dataCentres_;
    std::map<model::Address, std::string> owners_;
};

} // namespace membership::details
