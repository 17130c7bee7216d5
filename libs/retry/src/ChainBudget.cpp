#include <retry/ChainBudget.h>

#include <algorithm>

namespace retry {

bool ChainBudget::spend()
{
    if (remaining_ == 0)
        return false;
    --remaining_;
    return true;
}

std::uint32_t ChainBudget::allocate()
{
    const auto share = remaining_ / 2;
    remaining_ -= share;
    return share;
}

void ChainBudget::reclaim(std::uint32_t allocated, std::uint32_t unused)
{
    remaining_ += std::min(allocated, unused);
}

} // namespace retry
