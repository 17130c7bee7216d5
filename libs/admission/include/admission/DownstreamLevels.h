#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <admission/Level.h>
#include <base/Millis.h>

namespace admission {

/**
 * Levels learnt from answers of called services, for each request class that makes the calls.
 *
 * An executor reports effective() with its own answers, so that callers at the root refuse a
 * request before any work; an entry asks admits() with the class of the root. A level expires, so
 * that refused priorities are tried again.
 */
class DownstreamLevels
{
public:
    explicit DownstreamLevels(base::Millis expiry = base::Millis(1000));

    /** Notes the level on an answer of the callee to a call made for the request class. */
    void observe(std::string_view requestClass, std::string_view callee, Level level,
                 base::Millis now);

    /** Worst of the own level and the unexpired levels of all callees of the class. */
    Level effective(std::string_view requestClass, Level ownLevel, base::Millis now) const;

    /** Whether a request of that class and priority would be admitted all the way down. */
    bool admits(std::string_view requestClass, const Priority &priority, base::Millis now) const;

    /** Forgets expired levels. */
    void prune(base::Millis now);

    /** Number of levels kept; bounded by maxEntries. */
    std::size_t size() const;

    static constexpr std::size_t maxEntries = 4096;

private:
    struct Observation
    {
        Level level_;
        base::Millis at_;
    };

    using ByCallee = std::map<std::string, Observation, std::less<>>;

    base::Millis expiry_;
    std::map<std::string, ByCallee, std::less<>> byClass_;
    std::size_t size_ = 0;
};

} // namespace admission
