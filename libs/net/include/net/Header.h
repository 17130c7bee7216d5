#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace net {

/** One header field of a request or response; names are case-insensitive. */
struct Header
{
    std::string name_;
    std::string value_;

    bool operator==(const Header &) const = default;
};

/** Header fields in the order received; a name may occur more than once. */
using Headers = std::vector<Header>;

/** Value of the first field of the given name, or an empty view. */
std::string_view headerValue(const Headers &headers, std::string_view name);

/** Whether there is a field of the given name, with or without a value. */
bool hasHeader(const Headers &headers, std::string_view name);

/** Whether two header names are equal, ignoring case. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** The fields except those of the given name; used to replace a field. */
Headers withoutHeader(Headers headers, std::string_view name);

} // namespace net
