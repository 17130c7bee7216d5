#include <follow/Peers.h>

#include <algorithm>

namespace follow {

std::vector<model::Address> alternating(const std::vector<model::Address> &near,
                                        const std::vector<model::Address> &far)
{
    std::vector<model::Address> result;
    result.reserve(near.size() + far.size());
    for (std::size_t i = 0; i < std::max(near.size(), far.size()); ++i) {
        if (i < near.size())
            result.push_back(near[i]);
        if (i < far.size())
            result.push_back(far[i]);
    }
    return result;
}

} // namespace follow
