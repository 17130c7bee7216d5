#pragma once

#include <cstdint>

#include <base/Millis.h>
#include <dock/CallInfo.h>
#include <dock/CallReport.h>
#include <logclient/TokenBucket.h>
#include <once/Outcome.h>

namespace dock::details {

/** Log lines on requests that got no answer of a backend server, at most 50 a second. */
class FailureLog
{
public:
    /** Logs the outcome of a call unless it is complete or the bound is reached. */
    void note(const CallInfo &call, const once::Outcome &outcome, const CallReport &report,
              base::Millis now);

private:
    static constexpr std::uint32_t burst = 50;
    static constexpr base::Millis interval = base::Millis(20);

    logclient::TokenBucket lines_{burst, interval};
    std::uint64_t dropped_ = 0; ///< lines left out since the last one
};

} // namespace dock::details
