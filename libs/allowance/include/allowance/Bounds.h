#pragma once

#include <allowance/Settings.h>
#include <model/Allowance.h>

namespace allowance {

/**
 * How an allowance is divided. In any window at most
 * `rate * window + centralCapacity + carry` requests are admitted, where `centralCapacity + carry`
 * stays below `burst` and the tolerated excess.
 */
struct Bounds
{
    /** Of the rate, what all daemons may admit by themselves while the allotter is silent. */
    static constexpr double reserveShare = 0.6;
    /** Of carry_, what may lie in stocks. */
    static constexpr double stockShare = 0.6;
    /** A smaller carry_ is kept for held requests as a whole. */
    static constexpr double minCarryWithStock = 5;

    double ratePerSecond_ = 0;
    double centralCapacity_ = 0; ///< of the allotter's bucket while daemons hold all they may
    double carry_ = 0;           ///< tokens that all daemons together may hold at any time

    static Bounds of(const model::Allowance &allowance, const Settings &settings);

    /** Bound on the tokens in the bucket and at all daemons together. */
    double stored() const { return centralCapacity_ + carry_; }

    /** Bound on the sum of the reserve rates of all daemons. */
    double maxReserveRate() const { return reserveShare * ratePerSecond_; }

    /** Bound on the sum of the stocks of all daemons; the rest is for held requests. */
    double maxStock() const { return carry_ < minCarryWithStock ? 0 : stockShare * carry_; }

    bool operator==(const Bounds &) const = default;
};

} // namespace allowance
