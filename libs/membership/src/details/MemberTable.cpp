#include <details/MemberTable.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include <base/Hash.h>

namespace membership::details {
namespace {

/** Leaves out the status, so that a suspicion does not change the digest. */
std::uint64_t hashOf(const Record &record)
{
    const auto seed = record.member_.generation_ * 0x9e3779b97f4a7c15ULL + record.incarnation_;
    return base::hash64(record.member_.id_, seed);
}

/** Tombstones are sent without addresses; keeps the known ones for later reconnect pings. */
void keepMemberDetails(Record &record, const Record &old)
{
    if (record.isLive() || !record.member_.controlAddress_.host_.empty())
        return;
    const auto generation = record.member_.generation_;
    const auto retired = record.member_.retired_;
    record.member_ = old.member_;
    record.member_.generation_ = generation;
    if (retired)
        record.member_.retired_ = retired;
}

/** Adds the retired backend server of another record of the same member, if the entry has none. */
void inheritRetired(Entry &entry, const Record &other)
{
    auto &member = entry.record_.member_;
    if (member.retired_ || !other.member_.retired_)
        return;
    member.retired_ = other.member_.retired_;
    entry.isRetiredInherited_ = entry.record_.isLive();
}

const std::vector<const Entry *> noEntries;

} // namespace

MergeResult MemberTable::merge(Record record, base::Millis now)
{
    const auto found = entries_.find(record.member_.id_);
    if (found != entries_.end()) {
        auto &known = found->second.record_;
        if (record.version() <= known.version())
            inheritRetired(found->second, record);
        if (record.version() < known.version())
            return MergeResult::Older;
        if (record.version() == known.version()) {
            known.member_.revision_ = std::max(known.member_.revision_, record.member_.revision_);
            return MergeResult::Same;
        }
        if (record.member_.generation_ == known.member_.generation_ && record.isLive())
            record.member_.revision_ = std::max(known.member_.revision_, record.member_.revision_);
        keepMemberDetails(record, known);
        removeFromIndex(found->second);
    }
    const auto declaredAt = now - record.age_;
    record.age_ = base::Millis();
    auto &entry = entries_[record.member_.id_];
    const auto old = std::exchange(entry, {std::move(record), declaredAt, base::Millis::max()});
    inheritRetired(entry, old.record_);
    addToIndex(entry);
    return MergeResult::Newer;
}

void MemberTable::setSuspicionDeadline(const std::string &id, base::Millis time)
{
    if (const auto found = entries_.find(id); found != entries_.end())
        found->second.suspicionDeadline_ = time;
}

bool MemberTable::raiseRevision(const std::string &id, std::uint64_t generation,
                                model::Revision revision)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    auto &member = found->second.record_.member_;
    if (member.generation_ != generation || member.revision_ >= revision)
        return false;
    member.revision_ = revision;
    return true;
}

void MemberTable::expireBefore(base::Millis time)
{
    std::erase_if(entries_, [time](const auto &item) {
        return !item.second.record_.isLive() && item.second.declaredAt_ < time;
    });
}

void MemberTable::removeMembers(const std::string &dataCentre, const std::string &exceptId)
{
    std::erase_if(entries_, [&](const auto &item) {
        const auto &[id, entry] = item;
        const bool isMatch = dataCentre.empty() || entry.record_.member_.dataCentre_ == dataCentre;
        if (!isMatch || id == exceptId)
            return false;
        removeFromIndex(entry);
        return true;
    });
}

const Entry *MemberTable::find(const std::string &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

const Entry *MemberTable::ownerOf(const model::Address &controlAddress) const
{
    const auto found = owners_.find(controlAddress);
    return found == owners_.end() ? nullptr : find(found->second);
}

const std::vector<const Entry *> &MemberTable::live(const std::string &dataCentre) const
{
    const auto *index = upToDateIndex(dataCentre);
    return index ? index->live_ : noEntries;
}

const std::vector<const Entry *> &MemberTable::relays(const std::string &dataCentre) const
{
    const auto *index = upToDateIndex(dataCentre);
    return index ? index->relays_ : noEntries;
}

std::vector<std::string> MemberTable::dataCentres() const
{
    std::vector<std::string> names;
    for (const auto &[name, dataCentre] : dataCentres_) {
        if (dataCentre.liveCount_ > 0)
            names.push_back(name);
    }
    return names;
}

std::uint64_t MemberTable::hash(const std::string &dataCentre) const
{
    const auto found = dataCentres_.find(dataCentre);
    if (found == dataCentres_.end())
        return 0;
    const auto &digest = found->second.digest_;
    return std::accumulate(digest.begin(), digest.end(), std::uint64_t(0), std::bit_xor<>());
}

Digest MemberTable::digest(const std::string &dataCentre) const
{
    const auto found = dataCentres_.find(dataCentre);
    return found == dataCentres_.end() ? Digest{} : found->second.digest_;
}

std::size_t MemberTable::bucketOf(const std::string &id)
{
    return base::hash64(id) % digestBuckets;
}

void MemberTable::addToIndex(const Entry &entry)
{
    const auto &[member, incarnation, status, age] = entry.record_;
    if (!entry.record_.isLive())
        return;
    auto &dataCentre = dataCentres_[member.dataCentre_];
    dataCentre.digest_[bucketOf(member.id_)] ^= hashOf(entry.record_);
    dataCentre.isStale_ = true;
    ++dataCentre.liveCount_;
    owners_[member.controlAddress_] = member.id_;
}

void MemberTable::removeFromIndex(const Entry &entry)
{
    const auto &[member, incarnation, status, age] = entry.record_;
    if (!entry.record_.isLive())
        return;
    auto &dataCentre = dataCentres_[member.dataCentre_];
    dataCentre.digest_[bucketOf(member.id_)] ^= hashOf(entry.record_);
    dataCentre.isStale_ = true;
    --dataCentre.liveCount_;
    const auto owner = owners_.find(member.controlAddress_);
    if (owner != owners_.end() && owner->second == member.id_)
        owners_.erase(owner);
}

const MemberTable::DataCentreIndex *MemberTable::upToDateIndex(const std::string &name) const
{
    const auto found = dataCentres_.find(name);
    if (found == dataCentres_.end())
        return nullptr;
    if (found->second.isStale_)
        refresh(name, found->second);
    return &found->second;
}

void MemberTable::refresh(const std::string &name, const DataCentreIndex &dataCentre) const
{
    dataCentre.live_.clear();
    std::vector<std::pair<std::uint64_t, const Entry *>> weighted;
    for (const auto &[id, entry] : entries_) {
        if (!entry.record_.isLive() || entry.record_.member_.dataCentre_ != name)
            continue;
        dataCentre.live_.push_back(&entry);
        weighted.emplace_back(base::rendezvousWeight(name, id), &entry);
    }
    const auto count = std::min(relaysPerDataCentre_, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), std::greater<>());
    dataCentre.relays_.clear();
    for (std::size_t i = 0; i < count; ++i)
        dataCentre.relays_.push_back(weighted[i].second);
    dataCentre.isStale_ = false;
}

} // namespace membership::details
