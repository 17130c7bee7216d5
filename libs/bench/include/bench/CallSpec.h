#pragma once

#include <string>
#include <string_view>

#include <base/Error.h>

namespace bench {

/** A call that a backend server makes to another service while it serves a request. */
struct CallSpec
{
    std::string pathPrefix_; ///< prefix of the path of the served request; empty: any
    std::string service_;
    std::string method_;
    std::string path_;
    bool atMostOnce_ = false; ///< must run at most once; sent with an idempotency key

    /** Parses "[/prefix:] SERVICE METHOD /path [once]"; fails with "bad-call". */
    static base::Result<CallSpec> parse(std::string_view text);

    /** Whether a request for the path triggers the call. */
    bool appliesTo(std::string_view path) const;

    bool operator==(const CallSpec &) const = default;
};

} // namespace bench
