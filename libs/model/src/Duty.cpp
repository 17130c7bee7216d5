#include <model/Duty.h>

#include <algorithm>

#include <base/Hash.h>

namespace model {

bool hasDuty(std::string_view duty, const std::vector<Member> &members, const std::string &selfId,
             const std::string &dataCentre, std::size_t count)
{
    const auto selfWeight = base::rendezvousWeight(duty, selfId);
    const auto higherRanked =
            std::count_if(members.begin(), members.end(), [&](const Member &member) {
                if (member.dataCentre_ != dataCentre || member.id_ == selfId)
                    return false;
                const auto weight = base::rendezvousWeight(duty, member.id_);
                return weight != selfWeight ? weight > selfWeight : member.id_ < selfId;
            });
    return static_cast<std::size_t>(higherRanked) < count;
}

} // namespace model
