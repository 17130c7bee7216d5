#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <base/Millis.h>
#include <dock/CallInfo.h>

#include "BoundedLog.h"

namespace dock {
struct Redelegation;
}

namespace dock::details {

/** Logs and counts the further delegations of requests that must run once. */
class DelegationLog
{
public:
    void note(const CallInfo &call, const Redelegation &again, base::Millis now);

    /** Further delegations since the start, by what allowed them. */
    const std::map<std::string, std::uint64_t> &counts() const { return counts_; }

private:
    BoundedLog log_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace dock::details
