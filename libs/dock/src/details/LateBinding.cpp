#include "details/LateBinding.h"

#include <algorithm>
#include <cstdint>

#include <admission/Core.h>
#include <balance/HandBack.h>

namespace dock::details {

balance::LoadReport loadReportOf(const admission::Core &admission, base::Millis holding)
{
    return {.active_ = static_cast<std::uint32_t>(admission.running() + admission.queued()),
            .limit_ = std::max<std::uint32_t>(1, admission.limit()),
            .holding_ = holding};
}

bool isHandedBack(const admission::Core &admission, const admission::Priority &priority,
                  base::Millis holding, std::optional<base::Millis> maxWait)
{
    if (!maxWait)
        return false;
    std::size_t ahead = 0;
    for (int rank = 0; rank <= priority.rank_; ++rank)
        ahead += admission.queued(rank);
    return balance::isHandedBack(loadReportOf(admission, holding),
                                 static_cast<std::uint32_t>(ahead), maxWait);
}

} // namespace dock::details
