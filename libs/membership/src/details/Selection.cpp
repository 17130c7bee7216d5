#include <algorithm>
#include <cmath>

#include <details/CoreImpl.h>

namespace membership {

const Entry *Core::Impl::randomOther(const std::vector<const Entry *> &entries)
{
    const bool hasOthers = std::any_of(entries.begin(), entries.end(), [&](const Entry *entry) {
        return !isSelf(entry->record_.member_.id_);
    });
    if (!hasOthers)
        return nullptr;
    while (true) {
        const auto *entry = entries[random_.below(entries.size())];
        if (!isSelf(entry->record_.member_.id_))
            return entry;
    }
}

std::vector<const Entry *> Core::Impl::randomPeers(std::size_t count, const std::string &exceptId)
{
    const auto &live = table_.live(self_.dataCentre_);
    std::vector<const Entry *> chosen;
    const auto attempts = 3 * count + 2;
    for (std::size_t i = 0; i < attempts && chosen.size() < count; ++i) {
        const auto *entry = randomOther(live);
        if (!entry)
            break;
        const bool isNew = std::find(chosen.begin(), chosen.end(), entry) == chosen.end();
        if (isNew && entry->record_.member_.id_ != exceptId)
            chosen.push_back(entry);
    }
    return chosen;
}

std::vector<std::string> Core::Impl::otherDataCentres() const
{
    auto names = table_.dataCentres();
    std::erase(names, self_.dataCentre_);
    return names;
}

std::vector<Record> Core::Impl::differingRecords(const std::string &dataCentre,
                                                 const Digest &digest) const
{
    const auto localDigest = table_.digest(dataCentre);
    std::vector<Record> records;
    for (const auto &[id, entry] : table_.entries()) {
        const auto bucket = MemberTable::bucketOf(id);
        if (entry.record_.member_.dataCentre_ == dataCentre
            && localDigest[bucket] != digest[bucket])
            records.push_back(recordWithAge(entry));
    }
    return records;
}

Record Core::Impl::recordWithAge(const Entry &entry) const
{
    auto record = entry.record_;
    if (!record.isLive())
        record.age_ = std::max(base::Millis(), now_ - entry.declaredAt_);
    return record;
}

bool Core::Impl::isRelay() const
{
    const auto &relays = table_.relays(self_.dataCentre_);
    return std::any_of(relays.begin(), relays.end(),
                       [&](const Entry *entry) { return isSelf(entry->record_.member_.id_); });
}

bool Core::Impl::isIsolated() const
{
    const bool hasOtherSeed =
            std::any_of(options_.seeds_.begin(), options_.seeds_.end(),
                        [&](const model::Address &seed) { return seed != self_.controlAddress_; });
    const bool expectsOthers = hasOtherSeed || !foundSeeds_.empty() || hasContact_;
    const bool hasTimedOut = !hasContact_ || now_ - lastContact_ > timing_.isolationTimeout_;
    return expectsOthers && hasTimedOut;
}

bool Core::Impl::isUnreachable(const std::string &dataCentre) const
{
    const auto found = lastReachableAt_.find(dataCentre);
    return found != lastReachableAt_.end() && now_ - found->second > timing_.dataCentreTimeout_;
}

} // namespace membership
