#include <cmath>

#include <details/CoreImpl.h>

namespace membership {
namespace {

using details::Merge;

/** Bounds the contest of two daemons that were given the same id by mistake. */
constexpr std::uint32_t maxGenerationRaises = 8;

/** Range of a raise, in the microseconds of wall clock that generations begin with: one second. */
constexpr std::uint64_t generationRaiseRange = 1'000'000;

} // namespace

bool Core::Impl::absorb(Record record, const std::string &senderDataCentre, bool spread)
{
    if (isSelf(record.member_.id_))
        return absorbSelf(record);
    if (!record.isLive() && record.age_ > timing_.tombstoneRetention_)
        return false;
    // Only the own data centre of a member judges it. What another one holds of a member of this
    // one may be news: this daemon or the whole data centre was just started, or the member refuted
    // towards others alone. It is taken for live, and then probed as usual.
    const bool isJudge = isOwn(record.member_.dataCentre_) && isOwn(senderDataCentre);
    if (!isJudge && record.status_ == Status::Suspect)
        record.status_ = Status::Alive;
    return apply(std::move(record), spread);
}

bool Core::Impl::absorbSelf(const Record &record)
{
    const auto *own = table_.find(self_.id_);
    if (isLeaving_ || record.version() <= own->record_.version())
        return false;
    const bool isTaken =
            record.member_.generation_ > self_.generation_ || record.status_ == Status::Left;
    if (isTaken) {
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

/** Random, as an earlier process of this name may have raised its own above the same one. */
std::uint64_t Core::Impl::generationAbove(std::uint64_t seen)
{
    return seen + 1 + random_.below(generationRaiseRange);
}

bool Core::Impl::apply(Record record, bool spread)
{
    const bool isDisplaced = record.isLive() && settleAddress(record);
    const auto id = record.member_.id_;
    const auto dataCentre = record.member_.dataCentre_;
    const auto status = record.status_;
    const auto limit = sendLimit();
    switch (table_.merge(std::move(record), now_)) {
    case Merge::Older:
        return false;
    case Merge::Same:
        updates_.countHeard(id, limit);
        return false;
    case Merge::Newer:
        break;
    }
    isChanged_ = true;
    if (!isOwn(dataCentre))
        heard_.try_emplace(dataCentre, now_);
    if (status == Status::Suspect) {
        const auto members = static_cast<double>(table_.live(self_.dataCentre_).size() + 1);
        const auto intervals =
                static_cast<double>(timing_.suspicionFactor_) * std::max(1.0, std::log10(members));
        const auto wait = static_cast<double>(timing_.probeInterval_.micros()) * intervals;
        table_.setRefuteBy(id, running_ + base::Millis::fromMicros(static_cast<long>(wait)));
    }
    if (!spread && !isDisplaced)
        return true;
    updates_.add(id);
    if (isOwn(dataCentre) && status != Status::Suspect && isRelay()) {
        for (const auto &other : otherDataCentres())
            relayUpdates_[other].add(id);
    }
    return true;
}

/**
 * Two live members cannot own one address: the one started later holds it, the other is dead.
 * Turns the record into a tombstone if it is the loser.
 */
bool Core::Impl::settleAddress(Record &record)
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
    relayRounds_ = 2;
}

} // namespace membership
