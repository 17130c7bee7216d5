#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <balance/ObservedLoad.h>
#include <base/Millis.h>
#include <model/Member.h>
#include <routing/Event.h>
#include <routing/Options.h>

namespace routing::details {

/** Routing state of one instance: results of the calls to it, and its health and load reports. */
class Instance
{
public:
    /**
     * warmUpEnd: time from which the instance gets its full share; subsetWeight: rendezvous weight
     * of the instance for this daemon.
     */
    Instance(std::shared_ptr<const model::Member> member, base::Millis warmUpEnd,
             std::uint64_t subsetWeight);

    const model::Member &member() const { return *member_; }
    const std::shared_ptr<const model::Member> &sharedMember() const { return member_; }
    std::uint32_t inFlight() const { return inFlight_; }
    std::uint64_t subsetWeight() const { return subsetWeight_; }

    /** Applies a membership update; a new process or backend server starts a new warm-up. */
    void update(std::shared_ptr<const model::Member> member, base::Millis warmUpEnd);

    void recordSent(const admission::Priority &priority, const Options &options, base::Millis now);
    void recordAnswered(const CallAnswered &answer, const Options &options, base::Millis now);
    void recordFailed(FailureKind kind);
    void recordReport(const InstanceReported &report, const Options &options, base::Millis now);

    /** Excludes the instance from selection, with exponential back-off. */
    void eject(const Options &options, base::Millis now);

    /** Whether enough consecutive calls failed for an ejection. */
    bool isFailing(const Options &options) const;

    bool isEjected(base::Millis now) const { return now < ejectedUntil_; }
    base::Millis ejectedUntil() const { return ejectedUntil_; }
    bool isDraining(base::Millis now) const;
    bool isSaturated() const { return isSaturated_; }

    /** Moving average of the failed share of its calls, 0 to 1. */
    double failureRate() const { return failureRate_; }

    /** Last load report of this process and its backend server. */
    const std::optional<balance::ObservedLoad> &observedLoad() const { return observedLoad_; }

    /** Level from the last answer, or Level::all() once that has expired. */
    admission::Level level(base::Millis now) const;
    base::Millis levelExpiresAt() const { return levelExpiresAt_; }

    /** Load-balancing weight: the share of calls is proportional to it. */
    double weight(const Options &options, base::Millis now) const;

private:
    double warmUpFactor(const Options &options, base::Millis now) const;
    void recordEnd();
    void updateFailureRate(bool hasFailed);
    void updateSaturation(const Options &options, base::Millis now);

    std::shared_ptr<const model::Member> member_;
    base::Millis warmUpEnd_;
    std::uint64_t subsetWeight_;
    std::uint32_t inFlight_ = 0;
    bool isSaturated_ = false;
    admission::Level level_;
    base::Millis levelExpiresAt_;
    base::Millis drainingUntil_;
    base::Millis ejectedUntil_;
    base::Millis reportExpiresAt_;
    double reportFactor_ = 1.0;
    double failureRate_ = 0.0;
    int consecutiveFailures_ = 0;
    int ejectionCount_ = 0;
    std::optional<balance::ObservedLoad> observedLoad_;
};

} // namespace routing::details
