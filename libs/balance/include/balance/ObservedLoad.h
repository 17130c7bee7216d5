#pragma once

#include <cstdint>

#include <balance/LoadReport.h>
#include <base/Millis.h>

namespace balance {

/**
 * A load report together with the time and the circumstances of its receipt.
 *
 * The load can only be read for a time and with the calls that this daemon has sent since: what
 * other daemons sent is taken from the report while it is fresh, and tends to the fair share as it
 * ages (Dahlin, "Interpreting Stale Load Information", 2000). Own calls are always exact.
 */
class ObservedLoad
{
public:
    /** ownCalls: calls of this daemon in flight to the instance when the report arrived. */
    ObservedLoad(const LoadReport &report, std::uint32_t ownCalls, base::Millis receivedAt)
        : report_(report)
        , ownCallsReported_(ownCalls)
        , receivedAt_(receivedAt)
    {}

    /** Time since the receipt. */
    base::Millis age(base::Millis now) const { return now - receivedAt_; }

    /** Weight of the report against the fair share, 1 (just received) to 0. */
    double freshness(base::Millis now) const;

    /**
     * Expected requests running and queued. ownCalls: calls of this daemon in flight now;
     * fairShare: requests that the instance would hold if the load of its service were even.
     */
    double active(std::uint32_t ownCalls, double fairShare, base::Millis now) const;

    /** Requests running and queued as reported, with the own calls of now; only for sums over many
     * instances, in which the errors of old reports cancel out. */
    double active(std::uint32_t ownCalls) const;

    /** Requests that may run at once. It changes slowly, so it is used at any age. */
    std::uint32_t limit() const { return report_.limit_; }

    /** Mean time for which a request holds its slot; 0 if not measured. */
    base::Millis holding() const { return report_.holding_; }

    /** Speed of the server relative to the mean, which it tends to as the report ages. */
    double relativeSpeed(double meanHoldingMs, base::Millis now) const;

    bool operator==(const ObservedLoad &) const = default;

private:
    LoadReport report_;
    std::uint32_t ownCallsReported_ = 0;
    base::Millis receivedAt_;
};

} // namespace balance
