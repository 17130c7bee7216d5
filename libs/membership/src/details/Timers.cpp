#include <algorithm>

#include <details/CoreImpl.h>

namespace membership {
namespace {

using base::Millis;

/** Longer gaps between events are capped: the process or its machine was stalled. */
constexpr Millis maxCountedGap(400);
constexpr Millis seedSearchInterval(5000);
/** Interval at which a joined relay looks for daemons that have formed a separate cluster. */
constexpr Millis splitClusterSearchInterval(60000);
constexpr Millis revisionCountInterval(1000);
constexpr Millis expiryInterval(60000);
constexpr Millis catchUpLimit(5000);
/** One in this many probes of another data centre goes to any member instead of a relay. */
constexpr std::uint64_t anyMemberProbeRatio = 4;
constexpr std::size_t maxCountedRevisions = 4;

} // namespace

bool Core::Impl::isDue(Millis &next, Millis interval)
{
    if (now_ < next)
        return false;
    // Jitter keeps daemons that were started together from acting at the same time.
    const auto jitter = static_cast<std::int64_t>(
            random_.below(static_cast<std::uint64_t>(interval.micros() / 4 + 1)));
    next = now_ + interval - interval / 8 + Millis::fromMicros(jitter);
    return true;
}

/** Called before each event, since datagrams may arrive before the first tick after a pause. */
void Core::Impl::advanceClock()
{
    const auto gap = hasTicked_ ? now_ - lastTick_ : Millis();
    runningTime_ = runningTime_ + std::min(gap, maxCountedGap);
    budget_.refill(gap);
    hasTicked_ = true;
    lastTick_ = now_;
    if (gap > timing_.pauseThreshold_)
        onPause(gap);
}

void Core::Impl::runTimers()
{
    if (isCatchingUp_ && runningTime_ > catchUpEnd_)
        isCatchingUp_ = false;
    if (!isCatchingUp_)
        detectFailures();
    if (isDue(nextJoin_, timing_.joinInterval_))
        join();
    if (isDue(nextProbe_, timing_.probeInterval_))
        probeNext();
    if (isDue(nextReconnect_, timing_.reconnectInterval_))
        pingDeadMember();
    if (isDue(nextRelayProbe_, timing_.relayInterval_) && isRelay())
        probeOtherDataCentres();
    if (isDue(nextRevisionCount_, revisionCountInterval) && isRelay())
        countRevisions();
    if (now_ >= nextGossip_) {
        // Slightly less than the interval, which may equal the tick interval.
        nextGossip_ = now_ + timing_.gossipInterval_ - timing_.gossipInterval_ / 8;
        gossip();
    }
    if (isDue(nextExpiry_, expiryInterval)) {
        table_.expireBefore(now_ - timing_.tombstoneRetention_);
        removeUnreachableDataCentres();
    }
}

/**
 * Starts catching up, since the view from before the pause may be outdated. Until that has ended,
 * the view is not sent on and no member is suspected or declared dead.
 */
void Core::Impl::onPause(Millis gap)
{
    probes_.clear();
    updates_.clear();
    relayUpdates_.clear();
    for (auto &[dataCentre, time] : lastReachableAt_)
        time = time + gap;
    for (const auto *peer : randomPeers(timing_.indirectProbes_))
        joinCandidates_.push_back(peer->record_.member_.controlAddress_);
    if (gap > timing_.tombstoneRetention_ / 2) {
        table_.removeMembers({}, self_.id_);
        lastReachableAt_.clear();
        hasJoined_ = false;
    }
    isCatchingUp_ = true;
    catchUpEnd_ = runningTime_ + catchUpLimit;
    isFetching_ = false;
    ++fetchRequest_; // An answer to a fetch from before the pause must not end catching up.
    nextJoin_ = now_;
    announceSelf();
}

void Core::Impl::detectFailures()
{
    for (const auto &[sequence, probe] :
         probes_.takeTimedOut(runningTime_ - timing_.probeTimeout_)) {
        const auto *target = table_.find(probe.targetId_);
        if (!target || !isLocalDataCentre(probe.dataCentre_))
            continue;
        const auto address = target->record_.member_.controlAddress_;
        for (const auto *peer : randomPeers(timing_.indirectProbes_, probe.targetId_))
            send(*peer, PingRequest{sequence, probe.targetId_, address});
    }
    for (const auto &probe : probes_.takeFailed(runningTime_ - timing_.probeInterval_)) {
        if (isLocalDataCentre(probe.dataCentre_))
            declare(probe.targetId_, Status::Suspect);
    }
    std::vector<std::string> unrefuted;
    for (const auto *entry : table_.live(self_.dataCentre_)) {
        if (entry->record_.status_ == Status::Suspect && entry->suspicionDeadline_ < runningTime_)
            unrefuted.push_back(entry->record_.member_.id_);
    }
    for (const auto &id : unrefuted)
        declare(id, Status::Dead);
}

void Core::Impl::probeNext()
{
    if (isCatchingUp_)
        return;
    if (probeOrder_.empty()) {
        for (const auto *entry : table_.live(self_.dataCentre_))
            probeOrder_.push_back(entry->record_.member_.id_);
        for (std::size_t i = probeOrder_.size(); i > 1; --i)
            std::swap(probeOrder_[i - 1], probeOrder_[random_.below(i)]);
    }
    while (!probeOrder_.empty()) {
        const auto id = probeOrder_.back();
        probeOrder_.pop_back();
        const auto *target = table_.find(id);
        if (isSelf(id) || !target || !target->record_.isLive())
            continue;
        const auto sequence = probes_.start({id, self_.dataCentre_, runningTime_, false});
        send(*target, Ping{sequence, id});
        return;
    }
}

/** Heals a partition inside the data centre, after which either side lists the other as dead. */
void Core::Impl::pingDeadMember()
{
    std::vector<const Entry *> dead;
    for (const auto &[id, entry] : table_.entries()) {
        const auto &[member, incarnation, status, age] = entry.record_;
        if (status == Status::Dead && isLocalDataCentre(member.dataCentre_)
            && !member.controlAddress_.host_.empty() && !table_.ownerOf(member.controlAddress_))
            dead.push_back(&entry);
    }
    if (const auto *target = randomOther(dead); target && !isCatchingUp_)
        send(*target, Ping{0, target->record_.member_.id_});
}

void Core::Impl::probeOtherDataCentres()
{
    for (const auto &dataCentre : otherDataCentres()) {
        const bool isAnyMember = random_.below(anyMemberProbeRatio) == 0;
        const auto *target =
                randomOther(isAnyMember ? table_.live(dataCentre) : table_.relays(dataCentre));
        if (!target)
            continue;
        const auto id = target->record_.member_.id_;
        const auto sequence = probes_.start({id, dataCentre, runningTime_, false});
        send(*target, Ping{sequence, id});
    }
}

void Core::Impl::join()
{
    const auto needsState = isCatchingUp_ || !hasJoined_ || isIsolated();
    const auto searchInterval = needsState ? seedSearchInterval : splitClusterSearchInterval;
    nextSeedSearch_ = std::min(nextSeedSearch_, now_ + searchInterval);
    if (isDue(nextSeedSearch_, searchInterval) && (needsState || isRelay())) {
        commands_.emplace_back(FindSeeds{});
        joinCandidates_.insert(joinCandidates_.end(), foundSeeds_.begin(), foundSeeds_.end());
        joinCandidates_.insert(joinCandidates_.end(), options_.seeds_.begin(),
                               options_.seeds_.end());
    }
    if (joinCandidates_.empty() && needsState) {
        joinCandidates_ = options_.seeds_;
        joinCandidates_.insert(joinCandidates_.end(), foundSeeds_.begin(), foundSeeds_.end());
        for (const auto *peer : randomPeers(timing_.indirectProbes_))
            joinCandidates_.push_back(peer->record_.member_.controlAddress_);
    }
    // A seed that is not a live member may belong to a separate cluster.
    std::erase_if(joinCandidates_, [&](const model::Address &address) {
        return address == self_.controlAddress_ || (!needsState && table_.ownerOf(address));
    });
    if (joinCandidates_.empty())
        return;
    const auto chosen = joinCandidates_.begin()
                        + static_cast<std::ptrdiff_t>(random_.below(joinCandidates_.size()));
    const auto address = *chosen;
    joinCandidates_.erase(chosen);
    fetchState(address, {});
}

void Core::Impl::fetchState(const model::Address &from, const std::string &dataCentre)
{
    if (isFetching_)
        return;
    isFetching_ = true;
    commands_.emplace_back(FetchState{from, dataCentre, ++fetchRequest_});
}

void Core::Impl::countRevisions()
{
    std::map<model::Revision, std::uint32_t, std::greater<>> counts;
    for (const auto *entry : table_.live(self_.dataCentre_))
        ++counts[entry->record_.member_.revision_];
    RevisionSummary summary;
    for (const auto &[revision, daemons] : counts) {
        if (summary.counts_.size() == maxCountedRevisions)
            summary.counts_.back().second += daemons;
        else
            summary.counts_.emplace_back(revision, daemons);
    }
    // Older revisions are added to the last entry, which must then name the oldest of them.
    if (!counts.empty() && counts.size() > maxCountedRevisions)
        summary.counts_.back().first = counts.rbegin()->first;
    if (revisions_.publish(self_.dataCentre_, std::move(summary)))
        revisionGossipRounds_ = std::max<std::uint32_t>(revisionGossipRounds_, 2);
}

void Core::Impl::removeUnreachableDataCentres()
{
    std::erase_if(lastReachableAt_, [&](const auto &item) {
        const auto &[dataCentre, time] = item;
        if (now_ - time < timing_.tombstoneRetention_)
            return false;
        table_.removeMembers(dataCentre, self_.id_);
        revisions_.remove(dataCentre);
        haveMembersChanged_ = true;
        return true;
    });
}

} // namespace membership
