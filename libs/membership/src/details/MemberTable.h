#pragma once

#include <map>
#include <string>
#include <vector>

#include <membership/Datagram.h>
#include <membership/Record.h>

namespace membership::details {

/** A record with the local times that belong to it. */
struct Entry
{
    Record record_;
    base::Millis since_;    ///< for Dead and Left: when it was declared, by the local clock
    base::Millis refuteBy_; ///< for Suspect: end of the time to refute, in running time
};

/** How a record relates to what was known. */
enum class Merge { Older, Same, Newer };

/** All records, indexed by data centre, with digests kept up to date. */
class MemberTable
{
public:
    explicit MemberTable(std::size_t relaysPerDataCentre)
        : relaysPerDataCentre_(relaysPerDataCentre)
    {}

    /** Keeps the higher of the record and what is known. */
    Merge merge(Record record, base::Millis now);

    void setRefuteBy(const std::string &id, base::Millis time);

    /** Raises the revision of a member; true when it rose. */
    bool raiseRevision(const std::string &id, std::uint64_t generation, model::Revision revision);

    /** Forgets tombstones declared before the given time. */
    void expireBefore(base::Millis time);

    /** Forgets all but one member of a data centre, of all data centres when it is empty. */
    void forget(const std::string &dataCentre, const std::string &exceptId);

    const Entry *find(const std::string &id) const;

    /** The live member with that control address, or null. */
    const Entry *ownerOf(const model::Address &controlAddress) const;

    /** Live members of a data centre, sorted by id; valid until the next change. */
    const std::vector<const Entry *> &live(const std::string &dataCentre) const;

    /** The live members that speak for a data centre, by rendezvous hash. */
    const std::vector<const Entry *> &relays(const std::string &dataCentre) const;

    /** Data centres that have live members. */
    std::vector<std::string> dataCentres() const;

    /** Hash of all live members of a data centre. */
    std::uint64_t hash(const std::string &dataCentre) const;

    Digest digest(const std::string &dataCentre) const;
    static std::size_t bucketOf(const std::string &id);

    const std::map<std::string, Entry> &entries() const { return entries_; }

private:
    struct DataCentre
    {
        Digest digest_ = {};
        std::size_t liveCount_ = 0;
        mutable bool stale_ = true;
        mutable std::vector<const Entry *> live_;
        mutable std::vector<const Entry *> relays_;
    };

    void link(const Entry &entry);
    void unlink(const Entry &entry);
    const DataCentre *refreshed(const std::string &name) const;
    void refresh(const std::string &name, const DataCentre &dataCentre) const;

    std::size_t relaysPerDataCentre_;
    std::map<std::string, Entry> entries_;
    std::map<std::string, DataCentre> dataCentres_;
    std::map<model::Address, std::string> owners_;
};

} // namespace membership::details
