#include <details/Subset.h>

#include <algorithm>
#include <utility>

#include <base/Hash.h>
#include <details/Instance.h>

namespace routing::details {

std::vector<std::shared_ptr<Instance>> subsetOf(std::vector<std::shared_ptr<Instance>> instances,
                                                std::string_view daemonId, std::size_t size)
{
    std::vector<std::pair<std::uint64_t, std::shared_ptr<Instance>>> weighted;
    weighted.reserve(instances.size());
    for (auto &instance : instances) {
        const auto weight = base::rendezvousWeight(daemonId, instance->member().id_);
        weighted.emplace_back(weight, std::move(instance));
    }
    const auto kept = std::min(size, weighted.size());
    const auto isBefore = [](const auto &a, const auto &b) {
        if (a.first != b.first)
            return a.first > b.first;
        return a.second->member().id_ < b.second->member().id_;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + kept, weighted.end(), isBefore);
    std::vector<std::shared_ptr<Instance>> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        result.push_back(std::move(weighted[i].second));
    return result;
}

} // namespace routing::details
