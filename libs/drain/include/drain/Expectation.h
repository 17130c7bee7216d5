#pragma once

#include <functional>
#include <optional>

#include <base/Millis.h>

namespace drain {

/** How long a request may take, as far as it is known when the request arrives. */
struct Expectation
{
    base::Millis timeLeft_;                 ///< until its deadline
    std::optional<base::Millis> usualTime_; ///< of nearly all requests of its class; if known

    bool operator==(const Expectation &) const = default;
};

/** Decides whether a request that has just arrived is accepted. */
using AcceptFunction = std::function<bool(const Expectation &)>;

} // namespace drain
