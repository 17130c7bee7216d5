#include "FailureLog.h"

#include <utility>

#include <events/Catalogue.h>

namespace dock::details {

void FailureLog::record(const CallInfo &call, const once::Outcome &outcome,
                        const CallReport &report, base::Millis now)
{
    if (std::holds_alternative<once::Complete>(outcome))
        return;
    if (!log_.admits(now))
        return;
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    const auto reason =
            notRun != nullptr ? notRun->reason_ : std::get<once::Unknown>(outcome).reason_;
    std::string detail = "request=" + call.requestId_ + " class=" + call.class_.name_ + " service="
                         + call.service_ + " reason=" + std::string(once::reasonText(reason))
                         + " child=" + (call.isChild() ? "yes" : "no")
                         + " rank=" + std::to_string(call.priority_.rank_)
                         + " attempts=" + std::to_string(report.attempts_)
                         + " age=" + std::to_string((now - call.receivedAt_).count()) + "ms";
    if (notRun != nullptr)
        detail += " retryAfter=" + std::to_string(notRun->retryAfter_.count()) + "ms";
    log_.write(notRun != nullptr ? events::requestNotRun : events::outcomeUnknown,
               std::move(detail));
}

} // namespace dock::details
