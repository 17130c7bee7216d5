#pragma once

#include <map>
#include <string>
#include <string_view>

namespace bench {

/** Request target split into its path and its query. */
struct Target
{
    std::string path_;
    std::map<std::string, std::string> query_; ///< values as received, not decoded

    /** Splits "/path?a=1&b=2". */
    static Target parse(std::string_view text);

    bool operator==(const Target &) const = default;
};

} // namespace bench
