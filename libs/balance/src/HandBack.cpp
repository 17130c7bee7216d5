#include <balance/HandBack.h>

namespace balance {

base::Millis expectedWait(const LoadReport &load, std::uint32_t ahead)
{
    const bool hasFreeSlot = load.active_ < load.limit_;
    if (hasFreeSlot && ahead == 0)
        return {};
    return load.holding_ * (static_cast<std::int64_t>(ahead) + 1) / load.limit_;
}

bool isHandedBack(const LoadReport &load, std::uint32_t ahead, std::optional<base::Millis> maxWait)
{
    return maxWait && expectedWait(load, ahead) > *maxWait;
}

} // namespace balance
