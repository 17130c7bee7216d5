#pragma once

#include <map>
#include <string>
#include <vector>

#include <base/Random.h>
#include <details/ByteBudget.h>
#include <details/MemberTable.h>
#include <details/Probes.h>
#include <details/RevisionSummaryTable.h>
#include <details/UpdateQueue.h>
#include <membership/Core.h>

namespace membership {

using details::ByteBudget;
using details::Entry;
using details::MemberTable;
using details::Probes;
using details::RevisionSummaryTable;
using details::UpdateQueue;

/** Implementation of Core; its functions are defined in the files named below. */
struct Core::Impl
{
    explicit Impl(Options options);

    // Events.cpp
    void on(const Tick &);
    void on(const DatagramReceived &event);
    void on(const StateFetched &event);
    void on(const StateFetchFailed &event);
    void on(const SeedsFound &event);
    void on(const ServiceChanged &event);
    void on(const BackendRetired &event);
    void on(const RevisionInForce &event);
    void on(const LeaveRequested &);

    void onBody(const DatagramReceived &event, const Ping &ping);
    void onBody(const DatagramReceived &event, const PingRequest &request);
    void onBody(const DatagramReceived &event, const Ack &ack);
    void onBody(const DatagramReceived &, const Gossip &) {}
    void onBody(const DatagramReceived &event, const DigestRequest &request);
    void onBody(const DatagramReceived &event, const FetchAdvice &advice);
    void mergeHeader(const DatagramReceived &event);
    void compareViews(const DatagramReceived &event);
    void restoreRetiredBackend(const DatagramReceived &event);

    // Merging.cpp
    /** Merges a received record; returns true if it was newer than the known one. */
    bool mergeRecord(Record record, const std::string &senderDataCentre, bool disseminate);
    bool mergeSelfRecord(const Record &record);
    void adoptRetiredBackend(const Record &record);
    std::uint64_t generationAbove(std::uint64_t seen);
    bool apply(Record record, bool disseminate);
    bool resolveAddressConflict(Record &record);
    void declare(const std::string &id, Status status);
    void announceSelf();

    // Timers.cpp
    void advanceClock();
    void runTimers();
    void onPause(base::Millis gap);
    void detectFailures();
    void probeNext();
    void pingDeadMember();
    void probeOtherDataCentres();
    void join();
    void fetchState(const model::Address &from, const std::string &dataCentre);
    void countRevisions();
    void removeUnreachableDataCentres();
    bool isDue(base::Millis &next, base::Millis interval);

    // Sending.cpp
    Datagram makeDatagram(const std::string &toDataCentre, Body body);
    void send(const Entry &to, Body body, std::vector<Record> records = {});
    void reply(const DatagramReceived &to, Body body);
    void sendRecords(const model::Address &to, const std::string &toDataCentre,
                     std::vector<Record> records);
    void piggyback(Datagram &datagram, UpdateQueue &queue, std::uint32_t limit);
    void emitSend(const model::Address &to, Datagram datagram);
    void gossip();
    void gossipToRelays();
    void gossipToOtherDataCentres();
    std::uint32_t sendLimit() const;

    // Selection.cpp
    const Entry *randomOther(const std::vector<const Entry *> &entries);
    std::vector<const Entry *> randomPeers(std::size_t count, const std::string &exceptId = {});
    std::vector<std::string> otherDataCentres() const;
    std::vector<Record> differingRecords(const std::string &dataCentre, const Digest &digest) const;
    Record recordWithAge(const Entry &entry) const;
    bool isSelf(const std::string &id) const { return id == self_.id_; }
    bool isLocalDataCentre(const std::string &dataCentre) const
    {
        return dataCentre == self_.dataCentre_;
    }
    bool isRelay() const;
    bool isIsolated() const;
    bool isUnreachable(const std::string &dataCentre) const;

    Options options_;
    const Timing &timing_;
    model::Member self_;
    std::uint64_t incarnation_ = 0;
    bool isLeaving_ = false;
    std::uint32_t generationRaises_ = 0;

    MemberTable table_;
    UpdateQueue updates_;                             ///< for the local data centre
    std::map<std::string, UpdateQueue> relayUpdates_; ///< for each other data centre
    RevisionSummaryTable revisions_;
    model::Revision highestRevision_ = 0;
    std::map<std::string, base::Millis> lastReachableAt_; ///< last answer, by data centre

    Probes probes_;
    std::vector<std::string> probeOrder_;
    base::Random random_;
    ByteBudget budget_;

    base::Millis now_;
    /** Time without pauses of this process; the only clock that the failure detector uses. */
    base::Millis runningTime_;
    base::Millis lastTick_;
    bool hasTicked_ = false;
    base::Millis lastContact_;
    bool hasContact_ = false;
    bool hasJoined_ = false;
    bool isCatchingUp_ = false;
    base::Millis catchUpEnd_; ///< in running time
    bool isFetching_ = false;
    std::uint64_t fetchRequest_ = 0; ///< of the fetch in progress
    std::vector<model::Address> joinCandidates_;
    std::vector<model::Address> foundSeeds_;
    std::uint32_t revisionGossipRounds_ = 0;
    std::uint32_t relayGossipRounds_ = 0;
    bool haveMembersChanged_ = false;

    base::Millis nextProbe_;
    base::Millis nextGossip_;
    base::Millis nextRelayProbe_;
    std::map<std::string, base::Millis> nextDigest_; ///< by data centre of the sender
    base::Millis nextReconnect_;
    base::Millis nextJoin_;
    base::Millis nextSeedSearch_;
    base::Millis nextRevisionCount_;
    base::Millis nextExpiry_;

    std::vector<Command> commands_;
};

} // namespace membership
