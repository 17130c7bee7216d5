#include "DelegationLog.h"

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

void DelegationLog::note(const CallInfo &call, const Redelegation &again, base::Millis now)
{
    const std::string allowedBy(once::reasonText(again.allowedBy_.reason_));
    ++counts_[allowedBy];
    if (!log_.admits(now))
        return;
    log_.write(events::delegatedAgain,
               "request=" + call.requestId_ + " class=" + call.class_.name_
                       + " service=" + call.service_ + " attempt=" + std::to_string(again.attempt_)
                       + " allowedBy=" + allowedBy + " sent=" + (again.wasSent_ ? "yes" : "no")
                       + " last=" + (again.last_ ? textOf(*again.last_) : "-")
                       + " next=" + textOf(again.next_));
}

} // namespace dock::details
