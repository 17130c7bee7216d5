#pragma once

#include <optional>
#include <string_view>

namespace identity {

/** What the decision on a request depends on. */
struct Request
{
    std::optional<std::string_view> key_; ///< in plain text; unset if the request has none
    bool isPublic_ = false;               ///< its class needs no key
    bool isChild_ = false;                ///< made by a backend server for a request that runs
};

} // namespace identity
