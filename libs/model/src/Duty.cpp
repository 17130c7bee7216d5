#include <follow/Readers.h>

#include <algorithm>

#include <base/Hash.h>

namespace follow {

bool isReader(const std::vector<model::Member> &members, const std::string &selfId,
              const std::string &dataCentre, std::size_t readersPerDataCentre)
{
    constexpr const char *duty = "log-reader";
    const auto own = base::rendezvousWeight(duty, selfId);
    const auto better =
            std::count_if(members.begin(), members.end(), [&](const model::Member &member) {
                if (member.dataCentre_ != dataCentre || member.id_ == selfId)
                    return false;
                const auto weight = base::rendezvousWeight(duty, member.id_);
                return weight != own ? weight > own : member.id_ < selfId;
            });
    return static_cast<std::size_t>(better) < readersPerDataCentre;
}

} // namespace follow
