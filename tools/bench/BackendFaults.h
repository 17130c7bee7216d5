#pragma once

#include <cstdint>
#include <optional>

#include <base/Error.h>
#include <nlohmann/json_fwd.hpp>

namespace bench {

/** Faults injected into a backend server by a test. */
struct BackendFaults
{
    double slowFactor_ = 1.0;            ///< multiplier of the service time
    std::optional<bool> healthOverride_; ///< reported instead of the real health
    std::optional<double> loadOverride_; ///< reported instead of the real load
    std::uint64_t loseAnswers_ = 0;      ///< number of next requests that run without an answer
    bool rejectAll_ = false;             ///< rejects all requests

    /** Copy updated from the fields of a JSON object; null clears a fixed health or load. */
    base::Result<BackendFaults> updatedFrom(const nlohmann::json &body) const;
};

} // namespace bench
