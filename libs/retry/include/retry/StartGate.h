#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <base/Millis.h>

namespace retry {

/**
 * Decides whether to start root requests whose calls get no repeats when a service below refuses a
 * share of its calls. Requests of a class with many calls then hardly ever succeed, and the work
 * done for them is wasted; those with few calls often do. The share of successes is measured for
 * each scope, and a few requests are started in any case to keep the measurement up to date.
 *
 * No I/O or clock; not thread-safe.
 */
class StartGate
{
public:
    /**
     * Whether to start a root request whose calls get no repeats. One that its caller may repeat
     * after a failure is refused only if it has hardly any chance.
     */
    bool admits(std::string_view scope, bool isIdempotent, base::Millis now);

    /** Records how such a request ended. */
    void recordEnd(std::string_view scope, bool isServed, base::Millis now);

    /** Removes scopes without recent measurements. */
    void prune(base::Millis now);

private:
    struct Outcomes
    {
        double served_ = 0;
        double ended_ = 0;
        base::Millis updatedAt_;
        std::uint32_t refusedSinceProbe_ = 0;
    };

    static void decay(Outcomes &outcomes, base::Millis now);

    std::map<std::string, Outcomes, std::less<>> outcomes_;
};

} // namespace retry
