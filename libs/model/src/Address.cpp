#include <model/Address.h>

#include <arpa/inet.h>
#include <charconv>

namespace model {

base::Result<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return base::fail("bad-address", "'" + std::string(text) + "' has no ':port'");
    Address result;
    result.host_ = std::string(text.substr(0, colon));
    in_addr parsed = {};
    if (inet_pton(AF_INET, result.host_.c_str(), &parsed) != 1)
        return base::fail("bad-address", "'" + result.host_ + "' is not an IPv4 address");
    const auto port = text.substr(colon + 1);
    const auto [end, status] =
            std::from_chars(port.data(), port.data() + port.size(), result.port_);
    if (status != std::errc() || end != port.data() + port.size())
        return base::fail("bad-address", "'" + std::string(port) + "' is not a port (0 to 65535)");
    return result;
}

std::string Address::text() const
{
    return host_ + ":" + std::to_string(port_);
}

} // namespace model
