#include <retry/ChainBudget.h>

#include <algorithm>

namespace retry {

bool ChainBudget::spend()
{
    if (left_ == 0)
        return false;
    --left_;
    return true;
}

std::uint32_t ChainBudget::handDown()
{
    const auto share = left_ / 2;
    left_ -= share;
    return share;
}

void ChainBudget::takeBack(std::uint32_t handedDown, std::uint32_t unused)
{
    left_ += std::min(handedDown, unused);
}

} // namespace retry
