#pragma once

#include <string>

#include <admission/AnswerLevels.h>
#include <admission/DownstreamLevels.h>
#include <admission/Level.h>
#include <admission/Priority.h>
#include <base/Millis.h>

namespace admission {

/** Calls that share what is learnt from answers. */
struct CallScope
{
    std::string service_;
    std::string requestClass_;
    std::string customer_;

    bool operator==(const CallScope &) const = default;
};

/**
 * What an entry has learnt from answers beyond the levels of single instances.
 *
 * For each call: refuse it at once unless admits(), then pass routed() to the routing decision, and
 * observe() every answer.
 */
class EntryLevels
{
public:
    /** Notes the levels on an answer. */
    void observe(const CallScope &scope, const AnswerLevels &levels, base::Millis now);

    /** Whether the services further down would admit a new root request. */
    bool admits(const CallScope &scope, const Priority &priority, base::Millis now) const;

    /**
     * Priority to choose an instance by. A customer within its share is not refused for its bucket:
     * the levels of instances are those of customers that ask for more.
     */
    Priority routed(const CallScope &scope, const Priority &priority, base::Millis now) const;

    /** Forgets expired levels. */
    void prune(base::Millis now);

private:
    DownstreamLevels further_;
    DownstreamLevels customers_;
};

/** Key of a request class and customer in DownstreamLevels. */
std::string scopeKey(const std::string &requestClass, const std::string &customer);

/**
 * Level that a caller notes for the calls of one class and customer to a service: what is admitted
 * there and further down. serviceLevel: best level of the service's instances, from routing.
 */
Level levelOfCallee(const AnswerLevels &levels, Level serviceLevel);

} // namespace admission
