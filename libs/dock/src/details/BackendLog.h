#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <base/Millis.h>
#include <net/CallResult.h>
#include <net/MatchedBy.h>
#include <once/Outcome.h>

#include "BoundedLog.h"

namespace dock::details {

/** How a call to the backend server ended, as far as the network tells. */
struct BackendReply
{
    int status_ = 0; ///< 0: no whole answer came
    net::MatchedBy matchedBy_ = net::MatchedBy::Order;
    std::string cause_; ///< why none came

    static BackendReply of(const net::CallResult &result);
};

/** Logs and counts calls to the backend server that were refused or brought no whole answer. */
class BackendLog
{
public:
    /** Notes the end of a call and what it was taken for. */
    void note(const std::string &requestId, const BackendReply &reply, const once::Outcome &outcome,
              base::Millis now);

    /** Refused and lost calls since the start, by kind and by how the answer was matched. */
    const std::map<std::string, std::uint64_t> &counts() const { return counts_; }

private:
    BoundedLog log_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace dock::details
