#pragma once

#include <string>

#include <base/Millis.h>

namespace bench {

/** Pass criteria of an experiment in the mode "full". */
struct ExperimentTargets
{
    std::string goodputPhase_;      ///< phase in which goodput is evaluated
    double minGoodputRatio_ = 0.95; ///< fraction of the smaller of offered load and capacity
    double protectedCapacityPerSecond_ = 0.0; ///< requests per second of the protected classes
    std::string recoveryPhase_;               ///< phase that follows the surge
    base::Millis maxRecoveryTime_ = base::Millis(5000);

    bool operator==(const ExperimentTargets &) const = default;
};

} // namespace bench
