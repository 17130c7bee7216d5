#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <base/Millis.h>
#include <dock/CallInfo.h>

#include "RateLimitedLog.h"

namespace dock {
struct Redelegation;
}

namespace dock::details {

/** Logs and counts re-delegations of non-idempotent requests. */
class RedelegationLog
{
public:
    void record(const CallInfo &call, const Redelegation &redelegation, base::Millis now);

    /** Re-delegations since the start, by the reason that allowed them. */
    const std::map<std::string, std::uint64_t> &counts() const { return counts_; }

private:
    RateLimitedLog log_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace dock::details
