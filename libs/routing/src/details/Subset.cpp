#include <details/Subset.h>

#include <algorithm>

#include <details/Instance.h>

namespace routing::details {

std::vector<std::shared_ptr<Instance>>
selectSubset(std::vector<std::shared_ptr<Instance>> instances, std::size_t size)
{
    const auto isBefore = [](const auto &a, const auto &b) {
        if (a->subsetWeight() != b->subsetWeight())
            return a->subsetWeight() > b->subsetWeight();
        return a->member().id_ < b->member().id_;
    };
    const auto keptCount = std::min(size, instances.size());
    std::partial_sort(instances.begin(), instances.begin() + keptCount, instances.end(), isBefore);
    instances.resize(keptCount);
    return instances;
}

} // namespace routing::details
