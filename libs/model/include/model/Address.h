#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <base/Error.h>

namespace model {

/** IPv4 address in dotted-decimal notation, and port. */
struct Address
{
    std::string host_;
    std::uint16_t port_ = 0;

    /** Parses "127.0.0.1:8080"; fails with "bad-address". */
    static base::Result<Address> parse(std::string_view text);

    /** Text form; the inverse of parse(). */
    std::string text() const;

    auto operator<=>(const Address &) const = default;
};

} // namespace model
