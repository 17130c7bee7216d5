#pragma once

#include <string>

#include <model/Address.h>

namespace settings {

/** Settings for running on the users' platform instead of with a log and notes of its own. */
struct PlatformSettings
{
    model::Address store_;            ///< the platform's log
    model::Address heartbeatAddress_; ///< listens for heartbeats of the backend server
    model::Address readinessAddress_; ///< listens for readiness probes of the platform
    std::string service_;             ///< of the local backend server
    model::Address backendAddress_;   ///< of the local backend server
    /** Allowed arrivals beyond the first of each request, per request to the service. */
    double retryBudgetRatio_ = 0.1;

    bool operator==(const PlatformSettings &) const = default;
};

} // namespace settings
