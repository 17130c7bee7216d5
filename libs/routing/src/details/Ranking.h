#pragma once

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <details/TierLoad.h>
#include <routing/Options.h>

namespace routing::details {

class Instance;

/** Compares the instances of one tier: by own calls in flight, or by the load they report. */
class Ranking
{
public:
    Ranking(const Options &options, const std::vector<std::shared_ptr<Instance>> &tier,
            base::Millis now);

    /** Load-balancing weight: the share of calls is proportional to it. */
    double weight(const Instance &instance, const Options &options, base::Millis now) const;

    /** Number of instances drawn, of which the least loaded is selected. */
    int draws() const;

    /** Load of an instance for its weight. */
    double load(const Instance &instance, double weight) const;

    /** Expected wait of a call at the instance; 0 if not known. */
    base::Millis wait(const Instance &instance) const;

    /** Expected wait of a call if the load of the tier were even; 0 if not known. */
    base::Millis evenWait() const;

    /** Whether the instance is expected to have a free slot; false if its load is not known. */
    bool hasFreeSlot(const Instance &instance) const;

    /** Wait from which an instance is to hand the call back; none if it has to queue it. */
    std::optional<base::Millis> maxWait(const Options &options) const;

private:
    struct ByOwnCalls
    {};

    std::variant<ByOwnCalls, TierLoad> basis_;
};

} // namespace routing::details
