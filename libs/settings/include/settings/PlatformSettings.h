#pragma once

#include <string>

#include <model/Address.h>

namespace settings {

/** What a daemon needs to run on the users' platform instead of with its own log and notes. */
struct PlatformSettings
{
    model::Address store_;            ///< the platform's log
    model::Address heartbeatAddress_; ///< listened on for the backend server's heartbeats
    model::Address readinessAddress_; ///< listened on for the platform's readiness probes
    std::string service_;             ///< of the backend server beside this daemon
    model::Address backendAddress_;   ///< of the backend server beside this daemon
    /** Arrivals beyond the first of each request that a service may get, for each request to it. */
    double retryBudgetRatio_ = 0.1;

    bool operator==(const PlatformSettings &) const = default;
};

} // namespace settings
