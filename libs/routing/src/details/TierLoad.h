#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <base/Millis.h>
#include <routing/LoadStatus.h>

namespace routing::details {

class Instance;

/**
 * Load of the instances of one tier by their reports: rates, expected queues and waits.
 *
 * Instances without a report are taken to be as fast and as loaded as the others.
 */
class TierLoad
{
public:
    TierLoad(const std::vector<std::shared_ptr<Instance>> &tier, base::Millis now);

    /** Whether no instance has reported its load. */
    bool isEmpty() const { return rate_ <= 0; }

    /** Requests that the instance serves in a millisecond; relative if no report is known. */
    double rate(const Instance &instance) const;

    /** Expected requests running and queued at the instance. */
    double active(const Instance &instance) const;

    /**
     * Load with a further request: the share of slots in use, plus the wait in units of the mean
     * service time.
     */
    double relativeLoad(const Instance &instance) const;

    /** Whether a further request is expected to start at once; false without a report. */
    bool hasFreeSlot(const Instance &instance) const;

    /** Expected wait of a further request at the instance. */
    base::Millis wait(const Instance &instance) const;

    /** Expected wait of a further request if the load of the tier were even. */
    base::Millis evenWait() const;

    /** For status pages; none without a report. */
    std::optional<LoadStatus> status(const Instance &instance) const;

private:
    double meanHoldingMs() const;
    double limit(const Instance &instance) const;

    /** Requests that the instance would hold if the load were even. */
    double fairShare(const Instance &instance) const;

    base::Millis now_;
    double limit_ = 0.0;  ///< of all instances with a report
    double active_ = 0.0; ///< of all instances with a report
    double rate_ = 0.0;   ///< of all instances with a report, requests in a millisecond
};

} // namespace routing::details
