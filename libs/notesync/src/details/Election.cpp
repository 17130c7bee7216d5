#include "details/Election.h"

#include <algorithm>
#include <map>
#include <utility>

#include <base/Hash.h>

namespace notesync::details {

namespace {

using MemberPointers = std::vector<const model::Member *>;

const model::Member *pick(const MemberPointers &from, base::Random &random)
{
    return from.empty() ? nullptr : from[random.below(from.size())];
}

/** A daemon with its rendezvous weight for one duty; the first in order has the duty. */
struct Candidate
{
    std::uint64_t weight_;
    std::string id_;

    Candidate(const char *duty, const std::string &id)
        : weight_(base::rendezvousWeight(duty, id))
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

void Election::update(std::shared_ptr<const std::vector<model::Member>> members)
{
    MemberPointers others;
    highestRevision_ = 0;
    for (const auto &member : *members) {
        if (member.id_ == selfId_)
            continue;
        others.push_back(&member);
        highestRevision_ = std::max(highestRevision_, member.revision_);
    }
    // Members change far more often in their revision than in who they are.
    const bool isSame =
            std::equal(others.begin(), others.end(), others_.begin(), others_.end(), isSameDaemon);
    others_ = std::move(others);
    members_ = std::move(members);
    if (!isSame)
        choose();
}

void Election::choose()
{
    std::vector<Candidate> writers;
    for (const auto &id : allReaders())
        writers.emplace_back("snapshot-writer", id);
    std::sort(writers.begin(), writers.end());
    const auto self = std::find_if(writers.begin(), writers.end(),
                                   [this](const auto &writer) { return writer.id_ == selfId_; });
    isReader_ = self != writers.end();
    writerRank_ = static_cast<std::size_t>(self - writers.begin());
}

std::vector<std::string> Election::allReaders() const
{
    std::map<std::string, std::vector<Candidate>> candidates;
    candidates[dataCentre_].emplace_back("log-reader", selfId_);
    for (const auto *member : others_)
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
    const auto it = std::find_if(others_.begin(), others_.end(),
                                 [&id](const auto *member) { return member->id_ == id; });
    return it == others_.end() ? nullptr : *it;
}

const model::Member *Election::anyPeer(base::Random &random) const
{
    return pick(others_, random);
}

const model::Member *Election::peerAbove(model::Revision revision, base::Random &random) const
{
    MemberPointers near;
    MemberPointers far;
    for (const auto *member : others_) {
        if (member->revision_ > revision)
            (member->dataCentre_ == dataCentre_ ? near : far).push_back(member);
    }
    return pick(near.empty() ? far : near, random);
}

std::vector<const model::Member *> Election::sample(std::size_t count, base::Random &random) const
{
    MemberPointers near;
    MemberPointers far;
    for (const auto *member : others_)
        (member->dataCentre_ == dataCentre_ ? near : far).push_back(member);
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
