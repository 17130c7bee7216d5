#include "details/Election.h"

#include <algorithm>
#include <map>
#include <utility>

#include <base/Hash.h>

namespace notesync::details {

namespace {

using MemberPointers = std::vector<const model::Member *>;

const model::Member *randomElement(const MemberPointers &from, base::Random &random)
{
    return from.empty() ? nullptr : from[random.below(from.size())];
}

/** A daemon with its rendezvous weight for a role; the first in sort order is elected. */
struct Candidate
{
    std::uint64_t weight_;
    std::string id_;

    Candidate(const char *role, const std::string &id)
        : weight_(base::rendezvousWeight(role, id))
        , id_(id)
    {}

    bool operator<(const Candidate &other) const
    {
        return weight_ != other.weight_ ? weight_ > other.weight_ : id_ < other.id_;
    }
};

bool isSameDaemon(const model::Member *a, const model::Member *b)
{
    return a->id_ == b->id_ && a->dataCentre_ == b->dataCentre_;
}

} // namespace

Election::Election(std::string selfId, std::string dataCentre, std::size_t readersPerDataCentre)
    : selfId_(std::move(selfId))
    , dataCentre_(std::move(dataCentre))
    , readersPerDataCentre_(readersPerDataCentre)
{}

void Election::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    MemberPointers peers;
    highestPeerRevision_ = 0;
    for (const auto &member : *members) {
        if (member.id_ == selfId_)
            continue;
        peers.push_back(&member);
        highestPeerRevision_ = std::max(highestPeerRevision_, member.revision_);
    }
    // Revisions of members change far more often than the set of members.
    const bool isUnchanged =
            std::equal(peers.begin(), peers.end(), peers_.begin(), peers_.end(), isSameDaemon);
    peers_ = std::move(peers);
    members_ = std::move(members);
    if (!isUnchanged)
        electReaders();
}

void Election::electReaders()
{
    std::vector<Candidate> writers;
    for (const auto &id : electedReaders())
        writers.emplace_back("snapshot-writer", id);
    std::sort(writers.begin(), writers.end());
    const auto self = std::find_if(writers.begin(), writers.end(),
                                   [this](const auto &writer) { return writer.id_ == selfId_; });
    isReader_ = self != writers.end();
    writerRank_ = static_cast<std::size_t>(self - writers.begin());
}

std::vector<std::string> Election::electedReaders() const
{
    std::map<std::string, std::vector<Candidate>> candidates;
    candidates[dataCentre_].emplace_back("log-reader", selfId_);
    for (const auto *member : peers_)
        candidates[member->dataCentre_].emplace_back("log-reader", member->id_);
    std::vector<std::string> readers;
    for (auto &[dataCentre, daemons] : candidates) {
        const auto count = std::min(daemons.size(), readersPerDataCentre_);
        const auto end = daemons.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(daemons.begin(), end, daemons.end());
        std::transform(daemons.begin(), end, std::back_inserter(readers),
                       [](const auto &daemon) { return daemon.id_; });
    }
    return readers;
}

const model::Member *Election::find(const std::string &id) const
{
    const auto it = std::find_if(peers_.begin(), peers_.end(),
                                 [&id](const auto *member) { return member->id_ == id; });
    return it == peers_.end() ? nullptr : *it;
}

const model::Member *Election::randomPeer(base::Random &random) const
{
    return randomElement(peers_, random);
}

const model::Member *Election::peerAbove(model::Revision revision, base::Random &random) const
{
    MemberPointers local;
    MemberPointers remote;
    for (const auto *member : peers_) {
        if (member->revision_ > revision)
            (member->dataCentre_ == dataCentre_ ? local : remote).push_back(member);
    }
    return randomElement(local.empty() ? remote : local, random);
}

std::vector<const model::Member *> Election::samplePeers(std::size_t count,
                                                         base::Random &random) const
{
    MemberPointers local;
    MemberPointers remote;
    for (const auto *member : peers_)
        (member->dataCentre_ == dataCentre_ ? local : remote).push_back(member);
    MemberPointers result;
    while (result.size() < count && !local.empty()) {
        std::swap(local[random.below(local.size())], local.back());
        result.push_back(local.back());
        local.pop_back();
    }
    if (const auto *member = randomElement(remote, random))
        result.push_back(member);
    return result;
}

} // namespace notesync::details
