#pragma once

#include <map>
#include <string>
#include <string_view>

namespace bench {

/** HTTP request target, split into path and query. */
struct RequestTarget
{
    std::string path_;
    std::map<std::string, std::string> query_; ///< values are not percent-decoded

    /** Splits "/path?a=1&b=2". */
    static RequestTarget parse(std::string_view text);

    bool operator==(const RequestTarget &) const = default;
};

} // namespace bench
