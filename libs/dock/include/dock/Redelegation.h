#pragma once

#include <cstdint>
#include <optional>

#include <once/Incarnation.h>
#include <once/Outcome.h>

namespace dock {

/** A request that must run once goes to another executor than before. */
struct Redelegation
{
    std::uint32_t attempt_ = 0;             ///< 2 for the first one
    once::NotRun allowedBy_;                ///< why the attempt before has not run the request
    bool wasSent_ = false;                  ///< whether the attempt before reached its executor
    std::optional<once::Incarnation> last_; ///< executor of the attempt before
    once::Incarnation next_;

    bool operator==(const Redelegation &) const = default;
};

} // namespace dock
