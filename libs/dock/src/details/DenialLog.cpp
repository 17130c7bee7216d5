#include "DenialLog.h"

#include <utility>

#include <events/Catalogue.h>

namespace dock::details {

void DenialLog::record(const CallInfo &call, base::Millis evidenceAge, base::Millis now)
{
    if (!log_.admits(now))
        return;
    std::string detail = "request=" + call.requestId_ + " class=" + call.class_.name_
                         + " service=" + call.service_
                         + " reason=" + std::string(once::reasonText(call.denial_->reason_))
                         + " child=" + (call.isChild() ? "yes" : "no") + " evidenceAge=";
    const bool hasEvidence = evidenceAge < base::Millis::max();
    detail += hasEvidence ? std::to_string(evidenceAge.count()) + "ms" : "none";
    log_.write(events::requestDenied, std::move(detail));
}

} // namespace dock::details
