#pragma once

#include <map>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <model/Member.h>
#include <routing/Options.h>

namespace routing::details {

/**
 * Which other data centres this daemon reaches, judged by its calls to all instances there.
 *
 * When a data centre is cut off, calls to any of its instances end without an answer. Learning that
 * for each instance separately costs several lost calls each. An answer of any instance proves that
 * the data centre is reached; without one, a single call at a time is sent there as a probe.
 */
class Reachability
{
public:
    explicit Reachability(std::string_view localDataCentre)
        : localDataCentre_(localDataCentre)
    {}

    void recordSent(const model::Member &member, const Options &options, base::Millis now);
    void recordAnswered(const model::Member &member);
    void recordUnanswered(const model::Member &member, const Options &options, base::Millis now);

    /** Whether instances of the data centre should be avoided now. */
    bool isAvoided(std::string_view dataCentre, base::Millis now) const;

private:
    /** Calls to one data centre that ended without an answer, since the last answer from there. */
    struct Unanswered
    {
        int calls_ = 0;
        std::string firstInstance_;
        bool isUnreachable_ = false;
        base::Millis probeAt_;
    };

    std::string localDataCentre_;
    std::map<std::string, Unanswered, std::less<>> unanswered_;
};

} // namespace routing::details
