#include "RevisionAnnouncement.h"

#include <map>
#include <sstream>

namespace dock::details {

namespace {

/** Receivers in each other data centre: one may be about to exit, two rarely are. */
constexpr std::size_t receiversPerOtherDataCentre = 2;

constexpr const char *forwardFlag = "tell";
constexpr const char *noForwardFlag = "keep";

} // namespace

std::string RevisionAnnouncement::encode() const
{
    return std::to_string(revision_) + ' ' + dataCentre_ + ' ' + controlAddress_.text() + ' '
           + (mustForward_ ? forwardFlag : noForwardFlag);
}

base::Result<RevisionAnnouncement> RevisionAnnouncement::parse(const std::string &text)
{
    RevisionAnnouncement announcement;
    std::istringstream stream(text);
    std::string address;
    std::string flag;
    if (!(stream >> announcement.revision_ >> announcement.dataCentre_ >> address >> flag))
        return base::fail("bad-news", "expected 'REVISION DATA-CENTRE ADDRESS FLAG', got: " + text);
    auto parsed = model::Address::parse(address);
    if (!parsed)
        return base::fail("bad-news", parsed.error().message_);
    announcement.controlAddress_ = std::move(*parsed);
    announcement.mustForward_ = flag == forwardFlag;
    return announcement;
}

AnnouncementTargets announcementTargets(const std::vector<model::Member> &members,
                                        const std::string &selfId, const std::string &dataCentre,
                                        RevisionOrigin from, base::Random &random)
{
    AnnouncementTargets targets;
    if (from == RevisionOrigin::OwnDataCentre)
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
    if (from != RevisionOrigin::Log)
        return targets;
    for (auto &[name, candidates] : others) {
        for (std::size_t i = 0; i < receiversPerOtherDataCentre && !candidates.empty(); ++i) {
            const auto chosen = random.below(candidates.size());
            targets.otherDataCentres_.push_back(candidates[chosen]);
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
    return targets;
}

} // namespace dock::details
