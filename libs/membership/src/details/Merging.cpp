#include <cmath>

#include <details/CoreImpl.h>

namespace membership {
namespace {

using details::MergeResult;

/** Limits the raises when two daemons are configured with the same id by mistake. */
constexpr std::uint32_t maxGenerationRaises = 8;

/** Generations start as wall clock time in microseconds; a raise adds up to one second. */
constexpr std::uint64_t generationRaiseRange = 1'000'000;

} // namespace

bool Core::Impl::mergeRecord(Record record, const std::string &senderDataCentre, bool disseminate)
{
    if (isSelf(record.member_.id_))
        return mergeSelfRecord(record);
    if (!record.isLive() && record.age_ > timing_.tombstoneRetention_)
        return false;
    // Only a member's own data centre runs failure detection for it. A record from another data
    // centre can still be newer: this daemon or the whole data centre has just started, or the
    // refutation reached only the other one. The member is then taken as alive and probed as usual.
    const bool isAuthoritative =
            isLocalDataCentre(record.member_.dataCentre_) && isLocalDataCentre(senderDataCentre);
    if (!isAuthoritative && record.status_ == Status::Suspect)
        record.status_ = Status::Alive;
    return apply(std::move(record), disseminate);
}

bool Core::Impl::mergeSelfRecord(const Record &record)
{
    adoptRetiredBackend(record);
    const auto *current = table_.find(self_.id_);
    if (isLeaving_ || record.version() <= current->record_.version())
        return false;
    const bool isSuperseded =
            record.member_.generation_ > self_.generation_ || record.status_ == Status::Left;
    if (isSuperseded) {
        if (generationRaises_ == maxGenerationRaises)
            return false;
        ++generationRaises_;
        self_.generation_ = generationAbove(record.member_.generation_);
        incarnation_ = 0;
    } else {
        incarnation_ = record.incarnation_ + 1;
    }
    announceSelf();
    return true;
}

/** Takes over the retired backend server that an earlier process of this daemon announced. */
void Core::Impl::adoptRetiredBackend(const Record &record)
{
    const auto &retired = record.member_.retired_;
    if (!retired || isLeaving_ || (self_.retired_ && !retired->supersedes(*self_.retired_)))
        return;
    self_.retired_ = record.member_.retired_;
    ++incarnation_;
    announceSelf();
}

/** Random, since an earlier process of this id may have raised its own above the same value. */
std::uint64_t Core::Impl::generationAbove(std::uint64_t seen)
{
    return seen + 1 + random_.below(generationRaiseRange);
}

bool Core::Impl::apply(Record record, bool disseminate)
{
    const bool isDisplaced = record.isLive() && resolveAddressConflict(record);
    const auto id = record.member_.id_;
    const auto dataCentre = record.member_.dataCentre_;
    const auto status = record.status_;
    const auto limit = sendLimit();
    switch (table_.merge(std::move(record), now_)) {
    case MergeResult::Older:
        return false;
    case MergeResult::Same:
        updates_.countReceived(id, limit);
        return false;
    case MergeResult::Newer:
        break;
    }
    haveMembersChanged_ = true;
    if (!isLocalDataCentre(dataCentre))
        lastReachableAt_.try_emplace(dataCentre, now_);
    if (status == Status::Suspect) {
        const auto members = static_cast<double>(table_.live(self_.dataCentre_).size() + 1);
        const auto intervals =
                static_cast<double>(timing_.suspicionFactor_) * std::max(1.0, std::log10(members));
        const auto wait = static_cast<double>(timing_.probeInterval_.micros()) * intervals;
        table_.setSuspicionDeadline(
                id, runningTime_ + base::Millis::fromMicros(static_cast<long>(wait)));
    }
    if (!disseminate && !isDisplaced)
        return true;
    updates_.add(id);
    if (isLocalDataCentre(dataCentre) && status != Status::Suspect && isRelay()) {
        for (const auto &other : otherDataCentres())
            relayUpdates_[other].add(id);
    }
    return true;
}

/**
 * Of two live members with the same address, the one started later is alive and the other dead.
 * Turns the record into a tombstone if its member was started earlier; returns true if it did.
 */
bool Core::Impl::resolveAddressConflict(Record &record)
{
    const auto *owner = table_.ownerOf(record.member_.controlAddress_);
    if (!owner || owner->record_.member_.id_ == record.member_.id_)
        return false;
    auto known = owner->record_;
    const auto order = [](const Record &r) {
        return std::pair(r.member_.generation_, r.member_.id_);
    };
    if (isSelf(known.member_.id_)) {
        if (order(known) < order(record)) {
            self_.generation_ = generationAbove(record.member_.generation_);
            announceSelf();
        }
        record.status_ = Status::Dead;
        return true;
    }
    if (order(record) < order(known)) {
        record.status_ = Status::Dead;
        return true;
    }
    known.status_ = Status::Dead;
    apply(std::move(known), true);
    return false;
}

void Core::Impl::declare(const std::string &id, Status status)
{
    const auto *entry = table_.find(id);
    if (!entry || entry->record_.status_ >= status)
        return;
    auto record = entry->record_;
    record.status_ = status;
    apply(std::move(record), true);
}

void Core::Impl::announceSelf()
{
    const Record record{self_, incarnation_, isLeaving_ ? Status::Left : Status::Alive, {}};
    apply(record, true);
    relayGossipRounds_ = 2;
}

} // namespace membership
