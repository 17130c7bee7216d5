#include "AllotterCandidates.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include <base/Hash.h>

namespace dock::details {

namespace {

constexpr std::size_t maxCandidates = 8;

} // namespace

std::vector<std::string> allotterCandidates(std::uint32_t group,
                                            const std::vector<model::Member> &members)
{
    const auto role = "allotter-" + std::to_string(group);
    using Rank = std::tuple<bool, std::uint64_t, std::string_view>;
    std::vector<Rank> ranks;
    ranks.reserve(members.size());
    for (const auto &member : members)
        ranks.emplace_back(member.serving_ == model::ServingState::Draining,
                           ~base::rendezvousWeight(role, member.id_), member.id_);
    const auto end =
            ranks.begin() + static_cast<std::ptrdiff_t>(std::min(maxCandidates, ranks.size()));
    std::partial_sort(ranks.begin(), end, ranks.end());
    std::vector<std::string> result;
    for (auto it = ranks.begin(); it != end; ++it)
        result.emplace_back(std::get<std::string_view>(*it));
    return result;
}

} // namespace dock::details
