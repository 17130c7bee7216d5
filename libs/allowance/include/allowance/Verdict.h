#pragma once

#include <variant>

#include <allowance/RefusalReason.h>
#include <base/Millis.h>

namespace allowance {

/** The request may run; it has used a token. */
struct Admitted
{
    bool operator==(const Admitted &) const = default;
};

/** No token yet; decide again after an answer, and at the end of Settings::maxHold_. */
struct Held
{
    bool operator==(const Held &) const = default;
};

/** The request must not run. */
struct Refused
{
    RefusalReason reason_ = RefusalReason::Spent;
    base::Millis retryAfter_; ///< when room is likely

    bool operator==(const Refused &) const = default;
};

/** Decision on one request. */
using Verdict = std::variant<Admitted, Held, Refused>;

} // namespace allowance
