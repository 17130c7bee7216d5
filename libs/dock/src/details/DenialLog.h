#pragma once

#include <base/Millis.h>
#include <dock/CallInfo.h>

#include "RateLimitedLog.h"

namespace dock::details {

/** Logs requests that were refused because of their access key. */
class DenialLog
{
public:
    /** Logs the denial of a call unless the rate limit is exceeded; the key itself is not logged.
     */
    void record(const CallInfo &call, base::Millis evidenceAge, base::Millis now);

private:
    RateLimitedLog log_;
};

} // namespace dock::details
