#pragma once

#include <cstdint>
#include <variant>

#include <admission/Event.h>
#include <base/Millis.h>

namespace admission {

/** Pass the request to the backend server now. */
struct Start
{
    RequestId id_ = 0;

    bool operator==(const Start &) const = default;
};

/** Why a request is refused without having run. */
enum class RefusalReason : std::uint8_t {
    Overloaded,    ///< better requests take all capacity
    CannotFinish,  ///< it could not end before its deadline
    CustomerLimit, ///< its customer runs as many requests as allowed
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
