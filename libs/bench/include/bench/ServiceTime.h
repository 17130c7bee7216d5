#pragma once

#include <base/Millis.h>
#include <base/Random.h>

namespace bench {

/** Log-normal distribution of the time that a backend server works on one request. */
struct ServiceTime
{
    base::Millis mean_ = base::Millis(10);
    double variation_ = 0.5; ///< standard deviation divided by the mean

    /** One sample; the mean itself when there is no variation. */
    base::Millis sample(base::Random &random) const;

    bool operator==(const ServiceTime &) const = default;
};

} // namespace bench
