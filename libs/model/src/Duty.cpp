#include <model/Duty.h>

#include <algorithm>

#include <base/Hash.h>

namespace model {

bool hasDuty(std::string_view duty, const std::vector<Member> &members, const std::string &selfId,
             const std::string &dataCentre, std::size_t count)
{
    const auto own = base::rendezvousWeight(duty, selfId);
    const auto better = std::count_if(members.begin(), members.end(), [&](const Member &member) {
        if (member.dataCentre_ != dataCentre || member.id_ == selfId)
            return false;
        const auto weight = base::rendezvousWeight(duty, member.id_);
        return weight != own ? weight > own : member.id_ < selfId;
    });
    return static_cast<std::size_t>(better) < count;
}

} // namespace model
