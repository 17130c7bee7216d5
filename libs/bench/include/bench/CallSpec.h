#pragma once

#include <string>
#include <string_view>

#include <base/Error.h>

namespace bench {

/** A call that a backend server makes to another service while it serves a request. */
struct CallSpec
{
    std::string whenPath_; ///< prefix of the served path; empty: for every request
    std::string service_;
    std::string method_;
    std::string path_;
    bool once_ = false; ///< must run at most once

    /** Parses "[/prefix:] SERVICE METHOD /path [once]"; fails with "bad-call". */
    static base::Result<CallSpec> parse(std::string_view text);

    /** Whether the call is made while the path is served. */
    bool appliesTo(std::string_view path) const;

    bool operator==(const CallSpec &) const = default;
};

} // namespace bench
