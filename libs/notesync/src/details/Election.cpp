#include "details/Election.h"

#include <algorithm>
#include <set>

#include <base/Hash.h>

namespace notesync::details {

namespace {

using MemberPointers = std::vector<const model::Member *>;

const model::Member *pick(const MemberPointers &from, base::Random &random)
{
    return from.empty() ? nullptr : from[random.below(from.size())];
}

void sortByWeight(std::vector<std::string> &ids, const char *key)
{
    std::sort(ids.begin(), ids.end(), [key](const auto &a, const auto &b) {
        const auto left = base::rendezvousWeight(key, a);
        const auto right = base::rendezvousWeight(key, b);
        return left != right ? left > right : a < b;
    });
}

} // namespace

Election::Election(std::string selfId, std::string dataCentre, std::size_t readersPerDataCentre)
    : selfId_(std::move(selfId))
    , dataCentre_(std::move(dataCentre))
    , readersPerDataCentre_(readersPerDataCentre)
{}

void Election::update(const std::vector<model::Member> &members)
{
    others_.clear();
    std::copy_if(members.begin(), members.end(), std::back_inserter(others_),
                 [this](const auto &member) { return member.id_ != selfId_; });
    std::set<std::string> dataCentres{dataCentre_};
    for (const auto &member : others_)
        dataCentres.insert(member.dataCentre_);
    std::vector<std::string> writers;
    for (const auto &dataCentre : dataCentres) {
        const auto readers = readersOf(dataCentre);
        writers.insert(writers.end(), readers.begin(), readers.end());
    }
    sortByWeight(writers, "snapshot-writer");
    const auto self = std::find(writers.begin(), writers.end(), selfId_);
    isReader_ = self != writers.end();
    writerRank_ = static_cast<std::size_t>(self - writers.begin());
}

std::vector<std::string> Election::readersOf(const std::string &dataCentre) const
{
    std::vector<std::string> ids;
    if (dataCentre == dataCentre_)
        ids.push_back(selfId_);
    for (const auto &member : others_) {
        if (member.dataCentre_ == dataCentre)
            ids.push_back(member.id_);
    }
    sortByWeight(ids, "log-reader");
    ids.resize(std::min(ids.size(), readersPerDataCentre_));
    return ids;
}

model::Revision Election::highestRevision() const
{
    model::Revision highest = 0;
    for (const auto &member : others_)
        highest = std::max(highest, member.revision_);
    return highest;
}

const model::Member *Election::find(const std::string &id) const
{
    const auto it = std::find_if(others_.begin(), others_.end(),
                                 [&id](const auto &member) { return member.id_ == id; });
    return it == others_.end() ? nullptr : &*it;
}

const model::Member *Election::anyPeer(base::Random &random) const
{
    return others_.empty() ? nullptr : &others_[random.below(others_.size())];
}

const model::Member *Election::peerAbove(model::Revision revision, base::Random &random) const
{
    MemberPointers near;
    MemberPointers far;
    for (const auto &member : others_) {
        if (member.revision_ > revision)
            (member.dataCentre_ == dataCentre_ ? near : far).push_back(&member);
    }
    return pick(near.empty() ? far : near, random);
}

std::vector<const model::Member *> Election::sample(std::size_t count, base::Random &random) const
{
    MemberPointers near;
    MemberPointers far;
    for (const auto &member : others_)
        (member.dataCentre_ == dataCentre_ ? near : far).push_back(&member);
    MemberPointers result;
    while (result.size() < count && !near.empty()) {
        std::swap(near[random.below(near.size())], near.back());
        result.push_back(near.back());
        near.pop_back();
    }
    if (const auto *member = pick(far, random))
        result.push_back(member);
    return result;
}

} // namespace notesync::details
