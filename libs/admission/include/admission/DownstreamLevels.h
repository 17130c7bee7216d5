#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <admission/Level.h>
#include <base/Millis.h>

namespace admission {

/**
 * Levels received in answers of called services, by the request class that makes the calls.
 *
 * An executor reports effective() with its own answers, so that the root's entry refuses a request
 * before any work is done; an entry checks admits() with the class of the root request. Levels
 * expire, so that refused priorities are tried again.
 */
class DownstreamLevels
{
public:
    explicit DownstreamLevels(base::Millis expiry = base::Millis(1000));

    /** Records the level in the callee's answer to a call made for the request class. */
    void observe(std::string_view requestClass, std::string_view callee, Level level,
                 base::Millis now);

    /** Worst of the own level and the unexpired levels of all callees of the class. */
    Level effective(std::string_view requestClass, Level ownLevel, base::Millis now) const;

    /** Whether all callees would admit a request of that class and priority. */
    bool admits(std::string_view requestClass, const Priority &priority, base::Millis now) const;

    /** Removes expired levels. */
    void prune(base::Millis now);

    /** Number of levels stored, at most maxEntries. */
    std::size_t size() const;

    static constexpr std::size_t maxEntries = 4096;

private:
    struct Observation
    {
        Level level_;
        base::Millis observedAt_;
    };

    using ByCallee = std::map<std::string, Observation, std::less<>>;

    base::Millis expiry_;
    std::map<std::string, ByCallee, std::less<>> byClass_;
    std::size_t size_ = 0;
};

} // namespace admission
