#pragma once

#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <dock/CallReport.h>
#include <once/Outcome.h>

#include "RateLimitedLog.h"

namespace dock::details {

/** Logs requests that were not run or whose outcome is unknown. */
class FailureLog
{
public:
    /** Logs the outcome of a call unless it is complete or the rate limit is exceeded. */
    void record(const CallInfo &call, const once::Outcome &outcome, const CallReport &report,
                base::Millis now);

private:
    RateLimitedLog log_;
};

} // namespace dock::details
