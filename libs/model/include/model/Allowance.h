#pragma once

namespace model {

/** Number of requests that a customer may make through all daemons together: a token bucket. */
struct Allowance
{
    double ratePerSecond_ = 0; ///< positive
    double burst_ = 0;         ///< requests beyond the rate, when the bucket is full

    bool operator==(const Allowance &) const = default;
};

} // namespace model
