#pragma once

#include <string>

#include <admission/AnswerLevels.h>
#include <admission/DownstreamLevels.h>
#include <admission/Level.h>
#include <admission/Priority.h>
#include <base/Millis.h>

namespace admission {

/** Calls that share the levels received in answers. */
struct CallScope
{
    std::string service_;
    std::string requestClass_;
    std::string customer_;

    bool operator==(const CallScope &) const = default;
};

/**
 * Levels that an entry has received in answers, other than those of single instances.
 *
 * For each call: refuse it at once unless admits(), use routingPriority() for the routing decision,
 * and observe() every answer.
 */
class EntryLevels
{
public:
    /** Records the levels of an answer. */
    void observe(const CallScope &scope, const AnswerLevels &levels, base::Millis now);

    /** Whether the downstream services would admit a new root request. */
    bool admits(const CallScope &scope, const Priority &priority, base::Millis now) const;

    /**
     * Priority for choosing an instance. Instance levels are those of customers above their share,
     * so a customer within its share is not refused for its bucket.
     */
    Priority routingPriority(const CallScope &scope, const Priority &priority,
                             base::Millis now) const;

    /** Whether calls below a new root request are repeated as often as needed. */
    bool coversRepeats(const CallScope &scope, const Priority &priority, base::Millis now) const;

    /** Worst priority whose calls are repeated as often as needed. */
    Level repeatLevel(const CallScope &scope, base::Millis now) const;

    /** Removes expired levels. */
    void prune(base::Millis now);

private:
    DownstreamLevels downstream_;
    DownstreamLevels customers_;
    DownstreamLevels repeats_; ///< empty unless a service has too few repeats
};

/** Key of a request class and customer in DownstreamLevels. */
std::string scopeKey(const std::string &requestClass, const std::string &customer);

/**
 * Level that a caller records for the calls of one class and customer to a service: the worst
 * priority admitted there and downstream. serviceLevel: best level of the service's instances, from
 * routing.
 */
Level levelOfCallee(const AnswerLevels &levels, Level serviceLevel);

} // namespace admission
