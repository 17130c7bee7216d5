#pragma once

#include <variant>

#include <base/Millis.h>
#include <model/Customer.h>

namespace identity {

/** The request may be served. */
struct Admitted
{
    /** Holder of the key; nullptr if there is none. Valid while the configuration is in force. */
    const model::Customer *customer_ = nullptr;

    bool operator==(const Admitted &) const = default;
};

/** The request has no key, or one that no customer holds. */
struct Unauthorized
{
    bool operator==(const Unauthorized &) const = default;
};

/** The configuration was not confirmed recently enough to decide on the key. */
struct Unconfirmed
{
    base::Millis retryAfter_;

    bool operator==(const Unconfirmed &) const = default;
};

using Decision = std::variant<Admitted, Unauthorized, Unconfirmed>;

} // namespace identity
