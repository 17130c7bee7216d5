#pragma once

#include <string>

#include <base/Millis.h>

namespace model {

/** Kind of request to one service: what matches it, how much it matters, whether it may be
 * repeated. */
struct RequestClass
{
    std::string name_;
    std::string service_;
    std::string method_;     ///< HTTP method to match; empty matches any
    std::string pathPrefix_; ///< path below the service name, such as "/redemptions"
    int rank_ = 0;           ///< 0 matters most; lowestRank is shed first
    bool idempotent_ = true; ///< false: runs at most once and needs an issued key
    base::Millis deadline_ = base::Millis(1000); ///< used when the caller states none

    /** Rank that is shed first. */
    static constexpr int lowestRank = 9;

    bool operator==(const RequestClass &) const = default;
};

} // namespace model
