#pragma once

#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <dock/CallReport.h>
#include <once/Outcome.h>

#include "BoundedLog.h"

namespace dock::details {

/** Log lines on requests that got no answer of a backend server. */
class FailureLog
{
public:
    /** Logs the outcome of a call unless it is complete or the bound is reached. */
    void note(const CallInfo &call, const once::Outcome &outcome, const CallReport &report,
              base::Millis now);

private:
    BoundedLog log_;
};

} // namespace dock::details
