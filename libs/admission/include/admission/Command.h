#pragma once

#include <cstdint>
#include <variant>

#include <admission/Event.h>
#include <base/Millis.h>

namespace admission {

/** Forward the request to the backend server now. */
struct Start
{
    RequestId id_ = 0;

    bool operator==(const Start &) const = default;
};

/** Why a request is refused without having run. */
enum class RefusalReason : std::uint8_t {
    Overloaded,    ///< requests of better priority take all capacity
    CannotFinish,  ///< the request could not finish before its deadline
    CustomerLimit, ///< the customer is at its concurrency limit
    NotServing,    ///< no backend server is announced
};

/** Answer the request as not run. */
struct Refuse
{
    RequestId id_ = 0;
    RefusalReason reason_ = RefusalReason::Overloaded;
    base::Millis retryAfter_;

    bool operator==(const Refuse &) const = default;
};

using Command = std::variant<Start, Refuse>;

} // namespace admission
