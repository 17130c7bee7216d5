#include <algorithm>
#include <bit>

#include <details/CoreImpl.h>

namespace membership {
namespace {

/** Up to this many newer records of a fetched state are gossiped on; more are left to digests. */
constexpr std::size_t maxGossipedFetchRecords = 64;
constexpr std::size_t maxFoundSeeds = 64;
/** One in this many mismatches of a remote view of the local data centre is followed up. */
constexpr std::uint64_t remoteViewRatio = 4;

} // namespace

void Core::Impl::on(const Tick &)
{
    runTimers();
}

void Core::Impl::on(const DatagramReceived &event)
{
    if (isSelf(event.datagram_.senderId_))
        return;
    lastContact_ = now_;
    hasContact_ = true;
    mergeHeader(event);
    for (const auto &record : event.datagram_.records_) {
        // A datagram queued during a pause may carry records whose tombstones have expired.
        if (!isCatchingUp_ || isSelf(record.member_.id_))
            mergeRecord(record, event.datagram_.senderDataCentre_, true);
    }
    std::visit([&](const auto &body) { onBody(event, body); }, event.datagram_.body_);
    restoreRetiredBackend(event);
    compareViews(event);
}

void Core::Impl::mergeHeader(const DatagramReceived &event)
{
    const auto &message = event.datagram_;
    table_.raiseRevision(message.senderId_, message.senderGeneration_, message.senderRevision_);
    if (message.senderRevision_ > highestRevision_) {
        highestRevision_ = message.senderRevision_;
        haveMembersChanged_ = true;
    }
    for (const auto &summary : message.revisions_)
        revisions_.merge(summary);
    if (!isLocalDataCentre(message.senderDataCentre_))
        return;
    for (const auto &[dataCentre, age, hash] : message.views_) {
        if (const auto found = lastReachableAt_.find(dataCentre); found != lastReachableAt_.end())
            found->second = std::max(found->second, now_ - age);
    }
}

/** Requests the records of one differing data centre, which recovers lost updates. */
void Core::Impl::compareViews(const DatagramReceived &event)
{
    const auto &message = event.datagram_;
    std::vector<std::string> differing;
    for (const auto &[dataCentre, age, hash] : message.views_) {
        // Another data centre's view of this one is second-hand, so it is requested less often.
        const bool isRemoteView =
                isLocalDataCentre(dataCentre) && !isLocalDataCentre(message.senderDataCentre_);
        if (isRemoteView && random_.below(remoteViewRatio) != 0)
            continue;
        if (hash != table_.hash(dataCentre))
            differing.push_back(dataCentre);
    }
    if (differing.empty() || isCatchingUp_)
        return;
    const bool isKnown = isLocalDataCentre(message.senderDataCentre_)
                         || lastReachableAt_.contains(message.senderDataCentre_);
    if (!isDue(nextDigest_[isKnown ? message.senderDataCentre_ : std::string()],
               timing_.digestInterval_))
        return;
    const auto &requested = differing[random_.below(differing.size())];
    reply(event, DigestRequest{requested, table_.digest(requested)});
}

/** Returns to a restarted daemon the retired backend server that its earlier process announced. */
void Core::Impl::restoreRetiredBackend(const DatagramReceived &event)
{
    const auto *sender = table_.find(event.datagram_.senderId_);
    if (!sender || !sender->isRetiredInherited_ || isCatchingUp_)
        return;
    sendRecords(event.from_, event.datagram_.senderDataCentre_, {recordWithAge(*sender)});
}

void Core::Impl::onBody(const DatagramReceived &event, const Ping &ping)
{
    if (isSelf(ping.targetId_))
        reply(event, Ack{ping.sequence_, self_.id_});
    else
        sendRecords(event.from_, event.datagram_.senderDataCentre_,
                    {table_.find(self_.id_)->record_});
}

void Core::Impl::onBody(const DatagramReceived &event, const PingRequest &request)
{
    const auto sequence =
            probes_.startForward({event.from_, request.sequence_, request.targetId_, runningTime_});
    if (const auto *target = table_.find(request.targetId_);
        target && target->record_.member_.controlAddress_ == request.target_)
        send(*target, Ping{sequence, request.targetId_});
    else
        emitSend(request.target_,
                 makeDatagram(self_.dataCentre_, Ping{sequence, request.targetId_}));
}

void Core::Impl::onBody(const DatagramReceived &, const Ack &ack)
{
    if (const auto forward = probes_.finishForward(ack.sequence_, ack.targetId_))
        emitSend(forward->origin_,
                 makeDatagram(self_.dataCentre_, Ack{forward->originSequence_, ack.targetId_}));
    if (const auto probe = probes_.finish(ack.sequence_, ack.targetId_);
        probe && !isLocalDataCentre(probe->dataCentre_))
        lastReachableAt_[probe->dataCentre_] = now_;
}

void Core::Impl::onBody(const DatagramReceived &event, const DigestRequest &request)
{
    if (isCatchingUp_)
        return;
    auto records = differingRecords(request.dataCentre_, request.digest_);
    if (records.size() > timing_.maxDigestRecords_)
        reply(event, FetchAdvice{request.dataCentre_});
    else if (!records.empty())
        sendRecords(event.from_, event.datagram_.senderDataCentre_, std::move(records));
}

void Core::Impl::onBody(const DatagramReceived &event, const FetchAdvice &advice)
{
    fetchState(event.from_, advice.dataCentre_);
}

void Core::Impl::on(const StateFetched &event)
{
    const bool isCurrent = event.request_ == fetchRequest_;
    isFetching_ = isFetching_ && !isCurrent;
    lastContact_ = now_;
    hasContact_ = true;
    const auto *source = table_.ownerOf(event.from_);
    auto sourceDataCentre = source ? source->record_.member_.dataCentre_ : std::string();
    for (const auto &record : event.records_) {
        if (record.isLive() && record.member_.controlAddress_ == event.from_)
            sourceDataCentre = record.member_.dataCentre_;
    }
    std::vector<std::string> newIds;
    for (const auto &record : event.records_) {
        if (mergeRecord(record, sourceDataCentre, false))
            newIds.push_back(record.member_.id_);
    }
    if (hasJoined_ && newIds.size() <= maxGossipedFetchRecords) {
        for (const auto &id : newIds)
            updates_.add(id);
    }
    isCatchingUp_ = isCatchingUp_ && !isCurrent;
    if (!hasJoined_ && isCurrent) {
        hasJoined_ = true;
        announceSelf();
        sendRecords(event.from_, sourceDataCentre, {table_.find(self_.id_)->record_});
    }
}

void Core::Impl::on(const StateFetchFailed &event)
{
    isFetching_ = isFetching_ && event.request_ != fetchRequest_;
}

void Core::Impl::on(const SeedsFound &event)
{
    for (const auto &address : event.addresses_) {
        const bool isKnown =
                std::find(foundSeeds_.begin(), foundSeeds_.end(), address) != foundSeeds_.end();
        if (isKnown || address == self_.controlAddress_)
            continue;
        if (foundSeeds_.size() == maxFoundSeeds)
            foundSeeds_.erase(foundSeeds_.begin());
        foundSeeds_.push_back(address);
    }
}

void Core::Impl::on(const ServiceChanged &event)
{
    const bool isSame = event.serving_ == self_.serving_ && event.service_ == self_.service_
                        && event.slots_ == self_.slots_;
    if (isSame || isLeaving_)
        return;
    self_.serving_ = event.serving_;
    self_.service_ = event.service_;
    self_.slots_ = event.slots_;
    ++incarnation_;
    announceSelf();
    gossip();
}

void Core::Impl::on(const BackendRetired &event)
{
    if (self_.retired_ == event.retired_ || isLeaving_)
        return;
    self_.retired_ = event.retired_;
    ++incarnation_;
    announceSelf();
    gossip();
}

void Core::Impl::on(const RevisionInForce &event)
{
    if (event.revision_ <= self_.revision_)
        return;
    self_.revision_ = event.revision_;
    table_.raiseRevision(self_.id_, self_.generation_, self_.revision_);
    highestRevision_ = std::max(highestRevision_, self_.revision_);
    haveMembersChanged_ = true;
    revisionGossipRounds_ =
            static_cast<std::uint32_t>(std::bit_width(table_.live(self_.dataCentre_).size())) / 2
            + 1;
    relayGossipRounds_ = 2;
    if (isRelay())
        probeOtherDataCentres();
}

void Core::Impl::on(const LeaveRequested &)
{
    if (isLeaving_)
        return;
    isLeaving_ = true;
    announceSelf();
    gossip();
}

} // namespace membership
