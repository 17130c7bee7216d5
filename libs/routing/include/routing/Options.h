#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace routing {

/** Parameters of instance selection, and the location of this daemon. */
struct Options
{
    std::string daemonId_;
    std::string dataCentre_;
    std::string region_;
    std::uint64_t seed_ = 1;

    std::size_t subsetSize_ = 20; ///< instances per service in the local data centre, at most 64
    std::size_t spillSubsetSize_ = 10; ///< instances per service in all other data centres together

    base::Millis levelExpiry_ = base::Millis(1000);  ///< then refused priorities are probed
    base::Millis probeInterval_ = base::Millis(100); ///< between probes that stay unanswered
    /** Time over which a new instance ramps up to its full share: the users' servers are slow for
     * this long after a start. */
    base::Millis slowStartWindow_ = base::Millis(3000);

    int failuresToEject_ = 5;                            ///< consecutive failures
    base::Millis baseEjectionTime_ = base::Millis(1000); ///< doubled by each further ejection
    /** Upper bound of the ejection time; less than the 5 s allowed for recovery after a surge. */
    base::Millis maxEjectionTime_ = base::Millis(4000);

    /** An instance whose failure rate exceeds the lowest one by more than this gets fewer calls. */
    double outlierMargin_ = 0.15;
    double minOutlierShare_ = 0.1; ///< share of its calls kept, to detect its recovery

    base::Millis drainingExpiry_ = base::Millis(10000); ///< of a draining mark from an answer
    base::Millis reportExpiry_ = base::Millis(5000);    ///< of a health or load report

    /** Selects by the load that instances report, and not by calls in flight only. */
    bool evenLoad_ = false;
    /** Wait in the local data centre for which a call does not yet go to another one. */
    base::Millis spillWait_ = base::Millis(8);
    /** Wait for which a call is not worth another attempt while the service has free slots: about
     * the time of that attempt. */
    base::Millis handBackWait_ = base::Millis(2);
    /** Wait beyond the mean for which it is not worth one while all slots are in use. */
    base::Millis fullHandBackWait_ = base::Millis(5);

    bool operator==(const Options &) const = default;
};

} // namespace routing
