#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <base/Millis.h>
#include <net/CallResult.h>
#include <net/MatchedBy.h>
#include <once/Outcome.h>

#include "RateLimitedLog.h"

namespace dock::details {

/** Network result of a call to the backend server. */
struct BackendReply
{
    int status_ = 0; ///< 0 if no complete answer was received
    net::MatchedBy matchedBy_ = net::MatchedBy::Order;
    std::string cause_; ///< why no answer was received

    static BackendReply of(const net::CallResult &result);
};

/** Logs and counts calls to the backend server that were refused or got no complete answer. */
class BackendLog
{
public:
    /** Records the result of a call and the outcome derived from it. */
    void record(const std::string &requestId, const BackendReply &reply,
                const once::Outcome &outcome, base::Millis now);

    /** Refused and lost calls since the start, by kind and how the answer was matched. */
    const std::map<std::string, std::uint64_t> &counts() const { return counts_; }

private:
    RateLimitedLog log_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace dock::details
