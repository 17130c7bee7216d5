#pragma once

#include <cstdint>
#include <memory>

#include <admission/Level.h>
#include <admission/Priority.h>
#include <base/Millis.h>
#include <model/Member.h>
#include <routing/Event.h>
#include <routing/Options.h>

namespace routing::details {

/** What this daemon knows of one instance from its own calls, with the hints beside it. */
class Instance
{
public:
    /**
     * warmAt: point in time from which the instance gets its full share; subsetWeight: the
     * rendezvous weight of the instance for this daemon.
     */
    Instance(std::shared_ptr<const model::Member> member, base::Millis warmAt,
             std::uint64_t subsetWeight);

    const model::Member &member() const { return *member_; }
    const std::shared_ptr<const model::Member> &sharedMember() const { return member_; }
    std::uint32_t inFlight() const { return inFlight_; }
    std::uint64_t subsetWeight() const { return subsetWeight_; }

    /** Takes over what membership says; a new process or backend server starts cold. */
    void update(std::shared_ptr<const model::Member> member, base::Millis warmAt);

    void noteSent(const admission::Priority &priority, const Options &options, base::Millis now);
    void noteAnswered(const Answered &answer, const Options &options, base::Millis now);
    void noteFailed(FailureKind kind);
    void noteReported(const Reported &report, const Options &options, base::Millis now);

    /** Leaves the instance out for a while, longer each time. */
    void eject(const Options &options, base::Millis now);

    /** Whether so many calls failed in a row that the instance should be left out. */
    bool isFailing(const Options &options) const;

    bool isEjected(base::Millis now) const { return now < ejectedUntil_; }
    base::Millis ejectedUntil() const { return ejectedUntil_; }
    bool isDraining(base::Millis now) const;
    bool isFull() const { return isFull_; }

    /** Part of its last calls that failed, from 0 to 1. */
    double failureShare() const { return failureShare_; }

    /** Level from answers, or Level::all() when it is time to try again. */
    admission::Level level(base::Millis now) const;
    base::Millis levelUntil() const { return levelUntil_; }

    /** Share of the calls of the service that the instance should get. */
    double weight(const Options &options, base::Millis now) const;

private:
    double warmth(const Options &options, base::Millis now) const;
    void noteEnded();
    void noteQuality(bool hasFailed);
    void noteFull(const Options &options, base::Millis now);

    std::shared_ptr<const model::Member> member_;
    base::Millis warmAt_;
    std::uint64_t subsetWeight_;
    std::uint32_t inFlight_ = 0;
    bool isFull_ = false;
    admission::Level level_;
    base::Millis levelUntil_;
    base::Millis leavingUntil_;
    base::Millis ejectedUntil_;
    base::Millis hintUntil_;
    double hintWeight_ = 1.0;
    double failureShare_ = 0.0;
    int failuresInRow_ = 0;
    int ejections_ = 0;
};

} // namespace routing::details
