#pragma once

#include <cstdint>
#include <optional>

#include <base/Error.h>
#include <nlohmann/json_fwd.hpp>

namespace bench {

/** Misbehaviour of a backend server that a test has asked for. */
struct BackendFaults
{
    double slowFactor_ = 1.0;         ///< on the service time
    std::optional<bool> healthStuck_; ///< reported instead of the real health
    std::optional<double> loadStuck_; ///< reported instead of the real load
    std::uint64_t loseAnswers_ = 0;   ///< so many requests run and stay unanswered
    bool shed_ = false;               ///< refuses all work

    /** These faults with the fields of the JSON object changed; null clears a stuck value. */
    base::Result<BackendFaults> changedBy(const nlohmann::json &body) const;
};

} // namespace bench
