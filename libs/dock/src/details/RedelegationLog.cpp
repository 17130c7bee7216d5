#include "RedelegationLog.h"

#include <utility>

#include <dock/Redelegation.h>
#include <events/Catalogue.h>

namespace dock::details {

namespace {

std::string textOf(const once::Incarnation &incarnation)
{
    return incarnation.id_ + "/" + std::to_string(incarnation.generation_);
}

} // namespace

void RedelegationLog::record(const CallInfo &call, const Redelegation &redelegation,
                             base::Millis now)
{
    const std::string allowedBy(once::reasonText(redelegation.allowedBy_.reason_));
    ++counts_[allowedBy];
    if (!log_.admits(now))
        return;
    log_.write(events::delegatedAgain,
               "request=" + call.requestId_ + " class=" + call.class_.name_ + " service="
                       + call.service_ + " attempt=" + std::to_string(redelegation.attempt_)
                       + " allowedBy=" + allowedBy
                       + " sent=" + (redelegation.wasSent_ ? "yes" : "no") + " last="
                       + (redelegation.previousExecutor_ ? textOf(*redelegation.previousExecutor_)
                                                         : "-")
                       + " next=" + textOf(redelegation.nextExecutor_));
}

} // namespace dock::details
