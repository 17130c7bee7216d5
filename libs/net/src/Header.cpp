#include <net/Header.h>

#include <algorithm>

#include <strings.h>

namespace net {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view headerValue(const Headers &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (equalsIgnoringCase(header.name_, name))
            return header.value_;
    }
    return {};
}

bool hasHeader(const Headers &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [name](const Header &header) {
        return equalsIgnoringCase(header.name_, name);
    });
}

Headers withoutHeader(Headers headers, std::string_view name)
{
    std::erase_if(headers,
                  [name](const Header &header) { return equalsIgnoringCase(header.name_, name); });
    return headers;
}

} // namespace net
