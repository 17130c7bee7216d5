#include "RevisionNews.h"

#include <map>
#include <sstream>

namespace dock::details {

namespace {

/** Daemons of another data centre that are told; one may be about to end, two rarely are. */
constexpr std::size_t toldInOtherDataCentre = 2;

constexpr const char *flagToBeTold = "tell";
constexpr const char *flagNone = "keep";

} // namespace

std::string RevisionNews::text() const
{
    return std::to_string(revision_) + ' ' + dataCentre_ + ' ' + controlAddress_.text() + ' '
           + (isToBeTold_ ? flagToBeTold : flagNone);
}

base::Result<RevisionNews> RevisionNews::parse(const std::string &text)
{
    RevisionNews news;
    std::istringstream stream(text);
    std::string address;
    std::string flag;
    if (!(stream >> news.revision_ >> news.dataCentre_ >> address >> flag))
        return base::fail("bad-news", "not 'REVISION DATA-CENTRE ADDRESS FLAG': " + text);
    auto parsed = model::Address::parse(address);
    if (!parsed)
        return base::fail("bad-news", parsed.error().message_);
    news.controlAddress_ = std::move(*parsed);
    news.isToBeTold_ = flag == flagToBeTold;
    return news;
}

NewsTargets newsTargets(const std::vector<model::Member> &members, const std::string &selfId,
                        const std::string &dataCentre, LearntFrom from, base::Random &random)
{
    NewsTargets targets;
    if (from == LearntFrom::OwnDataCentre)
        return targets;
    std::map<std::string, std::vector<const model::Member *>> others;
    for (const auto &member : members) {
        if (member.id_ == selfId)
            continue;
        if (member.dataCentre_ == dataCentre)
            targets.ownDataCentre_.push_back(&member);
        else
            others[member.dataCentre_].push_back(&member);
    }
    if (from != LearntFrom::Log)
        return targets;
    for (auto &[name, candidates] : others) {
        for (std::size_t i = 0; i < toldInOtherDataCentre && !candidates.empty(); ++i) {
            const auto chosen = random.below(candidates.size());
            targets.otherDataCentres_.push_back(candidates[chosen]);
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
    return targets;
}

} // namespace dock::details
