#include <model/Election.h>

#include <algorithm>
#include <utility>

#include <base/Hash.h>

namespace model {

std::vector<const Member *> higherRanked(std::string_view role, const std::vector<Member> &members,
                                         const std::string &selfId, const std::string &dataCentre)
{
    // Compares by descending weight, then by id.
    using Rank = std::pair<std::uint64_t, std::string_view>;
    const auto rankOf = [role](const std::string &id) {
        return Rank(~base::rendezvousWeight(role, id), id);
    };
    const auto selfRank = rankOf(selfId);
    std::vector<std::pair<Rank, const Member *>> ranked;
    for (const auto &member : members) {
        if (member.dataCentre_ != dataCentre || member.id_ == selfId)
            continue;
        if (const auto rank = rankOf(member.id_); rank < selfRank)
            ranked.emplace_back(rank, &member);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const Member *> result;
    result.reserve(ranked.size());
    for (const auto &[rank, member] : ranked)
        result.push_back(member);
    return result;
}

bool isElectedFor(std::string_view role, const std::vector<Member> &members,
                  const std::string &selfId, const std::string &dataCentre, std::size_t count)
{
    return higherRanked(role, members, selfId, dataCentre).size() < count;
}

} // namespace model
