#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace routing {

/** Parameters of the routing decision and the place of this daemon. */
struct Options
{
    std::string daemonId_;
    std::string dataCentre_;
    std::string region_;
    std::uint64_t seed_ = 1;

    std::size_t subsetSize_ = 20; ///< instances of a service used in the own data centre, up to 64
    std::size_t spillSubsetSize_ = 10; ///< the same in the other data centres together

    base::Millis levelExpiry_ = base::Millis(1000);  ///< then refused priorities are tried again
    base::Millis probeInterval_ = base::Millis(100); ///< between tries while no answer came
    /** Until an instance gets its full share: the time for which a server of the users is cold. */
    base::Millis slowStart_ = base::Millis(3000);

    int failuresToEject_ = 5;                        ///< in a row
    base::Millis ejectionTime_ = base::Millis(1000); ///< doubles with every further ejection
    /** Shorter than the 5 s in which the system has to be back to normal after a surge. */
    base::Millis longestEjection_ = base::Millis(4000);

    /** An instance that fails by this much more of its calls than the best one gets fewer. */
    double outlierMargin_ = 0.15;
    double leastOutlierShare_ = 0.1; ///< of its calls, so that its recovery is noticed

    base::Millis drainMemory_ = base::Millis(10000); ///< "leaving" on an answer holds this long
    base::Millis hintExpiry_ = base::Millis(5000);   ///< of health and load reports

    bool operator==(const Options &) const = default;
};

} // namespace routing
