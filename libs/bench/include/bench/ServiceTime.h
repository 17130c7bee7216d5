#pragma once

#include <base/Millis.h>
#include <base/Random.h>

namespace bench {

/** Log-normal distribution of the service time of a backend server for one request. */
struct ServiceTime
{
    base::Millis mean_ = base::Millis(10);
    double variation_ = 0.5; ///< standard deviation divided by the mean

    /** Random sample; the mean if variation_ is 0. */
    base::Millis sample(base::Random &random) const;

    bool operator==(const ServiceTime &) const = default;
};

} // namespace bench
