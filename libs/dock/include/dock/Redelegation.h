#pragma once

#include <cstdint>
#include <optional>

#include <once/Incarnation.h>
#include <once/Outcome.h>

namespace dock {

/** Delegation of a non-idempotent request to another executor than before. */
struct Redelegation
{
    std::uint32_t attempt_ = 0; ///< number of this attempt, at least 2
    once::NotRun allowedBy_;    ///< why the previous attempt has not run the request
    bool wasSent_ = false;      ///< whether the previous attempt reached its executor
    std::optional<once::Incarnation> previousExecutor_; ///< executor of the previous attempt
    once::Incarnation nextExecutor_;

    bool operator==(const Redelegation &) const = default;
};

} // namespace dock
