#include <model/Election.h>

#include <algorithm>

#include <base/Hash.h>

namespace model {

bool isElectedFor(std::string_view role, const std::vector<Member> &members,
                  const std::string &selfId, const std::string &dataCentre, std::size_t count)
{
    const auto selfWeight = base::rendezvousWeight(role, selfId);
    const auto higherRanked =
            std::count_if(members.begin(), members.end(), [&](const Member &member) {
                if (member.dataCentre_ != dataCentre || member.id_ == selfId)
                    return false;
                const auto weight = base::rendezvousWeight(role, member.id_);
                return weight != selfWeight ? weight > selfWeight : member.id_ < selfId;
            });
    return static_cast<std::size_t>(higherRanked) < count;
}

} // namespace model
