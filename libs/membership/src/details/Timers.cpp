#include <algorithm>

#include <details/CoreImpl.h>

namespace membership {
namespace {

using base::Millis;

/** A longer step is not counted in full: the process or its machine was held up. */
constexpr Millis longestStep(400);
constexpr Millis seedSearchInterval(5000);
constexpr Millis islandSearchInterval(60000);
constexpr Millis countInterval(1000);
constexpr Millis expiryInterval(60000);
constexpr Millis catchUpLimit(5000);
/** One of so many probes of another data centre goes to any member in place of a relay. */
constexpr std::uint64_t relayProbeVariety = 4;
constexpr std::size_t maxCountedRevisions = 4;

} // namespace

bool Core::Impl::isDue(Millis &next, Millis interval)
{
    if (now_ < next)
        return false;
    // Spread over the interval, so that daemons started together do not act together.
    const auto jitter = static_cast<std::int64_t>(
            random_.below(static_cast<std::uint64_t>(interval.micros() / 4 + 1)));
    next = now_ + interval - interval / 8 + Millis::fromMicros(jitter);
    return true;
}

/** Called before each event: after a pause, datagrams may come in ahead of the first tick. */
void Core::Impl::passTime()
{
    const auto gap = hasTicked_ ? now_ - lastTick_ : Millis();
    running_ = running_ + std::min(gap, longestStep);
    budget_.refill(gap);
    hasTicked_ = true;
    lastTick_ = now_;
    if (gap > timing_.pauseLimit_)
        onPause(gap);
}

void Core::Impl::advance()
{
    if (isCatchingUp_ && running_ > catchUpEnd_)
        isCatchingUp_ = false;
    if (!isCatchingUp_)
        judge();
    if (isDue(nextJoin_, timing_.joinInterval_))
        join();
    if (isDue(nextProbe_, timing_.probeInterval_))
        probeNext();
    if (isDue(nextReconnect_, timing_.reconnectInterval_))
        reconnect();
    if (isDue(nextRelayProbe_, timing_.relayInterval_) && isRelay())
        relayProbe();
    if (isDue(nextCount_, countInterval) && isRelay())
        countRevisions();
    if (now_ >= nextGossip_) {
        // A little less than the interval, which may be that of the ticks.
        nextGossip_ = now_ + timing_.gossipInterval_ - timing_.gossipInterval_ / 8;
        gossip();
    }
    if (isDue(nextExpiry_, expiryInterval)) {
        table_.expireBefore(now_ - timing_.tombstoneRetention_);
        forgetUnreachable();
    }
}

/** What was believed before a pause is checked before anything of it is judged or passed on. */
void Core::Impl::onPause(Millis gap)
{
    probes_.clear();
    updates_.clear();
    relayUpdates_.clear();
    for (auto &[dataCentre, time] : heard_)
        time = time + gap;
    for (const auto *peer : randomPeers(timing_.indirectProbes_))
        joinCandidates_.push_back(peer->record_.member_.controlAddress_);
    if (gap > timing_.tombstoneRetention_ / 2) {
        table_.forget({}, self_.id_);
        heard_.clear();
        hasJoined_ = false;
    }
    isCatchingUp_ = true;
    catchUpEnd_ = running_ + catchUpLimit;
    isFetching_ = false;
    ++fetchRequest_; // An answer from before the pause must not end the catching up.
    nextJoin_ = now_;
    announceSelf();
}

void Core::Impl::judge()
{
    for (const auto &[sequence, probe] : probes_.takeLate(running_ - timing_.probeTimeout_)) {
        const auto *target = table_.find(probe.targetId_);
        if (!target || !isOwn(probe.dataCentre_))
            continue;
        const auto address = target->record_.member_.controlAddress_;
        for (const auto *peer : randomPeers(timing_.indirectProbes_, probe.targetId_))
            send(*peer, PingRequest{sequence, probe.targetId_, address});
    }
    for (const auto &probe : probes_.takeFailed(running_ - timing_.probeInterval_)) {
        if (isOwn(probe.dataCentre_))
            declare(probe.targetId_, Status::Suspect);
    }
    std::vector<std::string> unrefuted;
    for (const auto *entry : table_.live(self_.dataCentre_)) {
        if (entry->record_.status_ == Status::Suspect && entry->refuteBy_ < running_)
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
        const auto sequence = probes_.start({id, self_.dataCentre_, running_, false});
        send(*target, Ping{sequence, id});
        return;
    }
}

/** After a partition inside the data centre either side holds the other one for dead. */
void Core::Impl::reconnect()
{
    std::vector<const Entry *> dead;
    for (const auto &[id, entry] : table_.entries()) {
        const auto &[member, incarnation, status, age] = entry.record_;
        if (status == Status::Dead && isOwn(member.dataCentre_)
            && !member.controlAddress_.host_.empty() && !table_.ownerOf(member.controlAddress_))
            dead.push_back(&entry);
    }
    if (const auto *target = random(dead); target && !isCatchingUp_)
        send(*target, Ping{0, target->record_.member_.id_});
}

void Core::Impl::relayProbe()
{
    for (const auto &dataCentre : otherDataCentres()) {
        const bool isAny = random_.below(relayProbeVariety) == 0;
        const auto *target = random(isAny ? table_.live(dataCentre) : table_.relays(dataCentre));
        if (!target)
            continue;
        const auto id = target->record_.member_.id_;
        const auto sequence = probes_.start({id, dataCentre, running_, false});
        send(*target, Ping{sequence, id});
    }
}

void Core::Impl::join()
{
    const auto wanted = isCatchingUp_ || !hasJoined_ || isIsolated();
    const auto searchInterval = wanted ? seedSearchInterval : islandSearchInterval;
    nextSeedSearch_ = std::min(nextSeedSearch_, now_ + searchInterval);
    if (isDue(nextSeedSearch_, searchInterval) && (wanted || isRelay())) {
        commands_.emplace_back(FindSeeds{});
        joinCandidates_.insert(joinCandidates_.end(), foundSeeds_.begin(), foundSeeds_.end());
        joinCandidates_.insert(joinCandidates_.end(), options_.seeds_.begin(),
                               options_.seeds_.end());
    }
    if (joinCandidates_.empty() && wanted) {
        joinCandidates_ = options_.seeds_;
        joinCandidates_.insert(joinCandidates_.end(), foundSeeds_.begin(), foundSeeds_.end());
        for (const auto *peer : randomPeers(timing_.indirectProbes_))
            joinCandidates_.push_back(peer->record_.member_.controlAddress_);
    }
    // A seed that is no live member may belong to daemons that never met this one.
    std::erase_if(joinCandidates_, [&](const model::Address &address) {
        return address == self_.controlAddress_ || (!wanted && table_.ownerOf(address));
    });
    if (joinCandidates_.empty())
        return;
    const auto chosen = joinCandidates_.begin()
                        + static_cast<std::ptrdiff_t>(random_.below(joinCandidates_.size()));
    const auto address = *chosen;
    joinCandidates_.erase(chosen);
    fetch(address, {});
}

void Core::Impl::fetch(const model::Address &from, const std::string &dataCentre)
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
    // Too old ones are counted with the oldest revision listed, which must then be the true one.
    if (!counts.empty() && counts.size() > maxCountedRevisions)
        summary.counts_.back().first = counts.rbegin()->first;
    if (revisions_.publish(self_.dataCentre_, std::move(summary)))
        hintRounds_ = std::max<std::uint32_t>(hintRounds_, 2);
}

void Core::Impl::forgetUnreachable()
{
    std::erase_if(heard_, [&](const auto &item) {
        const auto &[dataCentre, time] = item;
        if (now_ - time < timing_.tombstoneRetention_)
            return false;
        table_.forget(dataCentre, self_.id_);
        revisions_.forget(dataCentre);
        isChanged_ = true;
        return true;
    });
}

} // namespace membership
