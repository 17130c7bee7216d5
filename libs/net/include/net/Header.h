#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace net {

/** One header field of a request or an answer; names compare without regard to case. */
struct Header
{
    std::string name_;
    std::string value_;

    bool operator==(const Header &) const = default;
};

/** Header fields in the order received; a name may occur more than once. */
using Headers = std::vector<Header>;

/** Value of the first field with that name, or an empty view. */
std::string_view headerValue(const Headers &headers, std::string_view name);

/** Whether two header names are equal without regard to case. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** The fields without those named; used to replace a field. */
Headers withoutHeader(Headers headers, std::string_view name);

} // namespace net
