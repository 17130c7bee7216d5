#pragma once

#include <string>

#include <base/Millis.h>

namespace model {

/** Class of requests to one service: match criteria, priority rank and idempotency. */
struct RequestClass
{
    std::string name_;
    std::string service_;
    std::string method_;     ///< HTTP method to match; empty matches any
    std::string pathPrefix_; ///< path below the service name, such as "/redemptions"
    int rank_ = 0;           ///< 0 is the highest priority; lowestRank is shed first
    bool idempotent_ = true; ///< false: runs at most once and requires an issued key
    base::Millis deadline_ = base::Millis(1000); ///< default for requests without a deadline
    bool isPublic_ = false; ///< needs no access key, even if the configuration has customers' keys

    static constexpr int lowestRank = 9;

    bool operator==(const RequestClass &) const = default;
};

} // namespace model
